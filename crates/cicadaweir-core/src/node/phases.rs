//! This member's own life: joining, active, leaving, left; and being behind.

use crate::{
    membership::{Health, Phase},
    prelude::*,
};

use super::{Guard, Node};

/// How long a newcomer waits for exceptions before it takes its share.
const JOIN_LIMIT: Duration = Duration::from_secs(3);

/// How long a planned stop is known before ownership may move.
const LEAVE_ANNOUNCE: Duration = Duration::from_millis(1_000);

/// How long a member that has left answers those who take its slots over.
const TAKE_OVER_WAIT: Duration = Duration::from_millis(2_500);

impl Node {
    /// After a pause, what this member knows may be old: it chooses nothing
    /// until another member has answered.
    pub(super) fn resume_after_pause(&mut self, now: Instant) {
        if self.guards(Guard::Behind) {
            self.behind_since = Some(now);
        }
        self.detector.clear_pending_probes();
    }

    pub(super) fn leave_behind_state(&mut self, now: Instant) {
        let current = self.notes_asked.is_none();
        if self.behind_since.is_some() && current {
            self.behind_since = None;
            self.refresh_members(now);
        }
    }

    /// An entry VM that nobody answers serves by what it knows.
    pub(super) fn end_isolation(&mut self, now: Instant) {
        let Some(since) = self.behind_since else {
            return;
        };
        let alone = self.view.peers().next().is_none();
        let waited = now.since(since) >= self.options.isolation;
        let has_catalog = self.catalog.revision() > Revision::default();
        if has_catalog && (waited || alone) {
            self.behind_since = None;
            self.refresh_members(now);
        }
    }

    /// Starts over as a joining member after the others had taken this one
    /// for dead: its buckets have other owners now.
    pub(super) fn rejoin(&mut self, now: Instant) {
        if matches!(self.phase(), Phase::Active | Phase::Joining) {
            self.started = now;
            self.set_phase(now, Phase::Joining);
            self.recovery.forget_lost();
        }
    }

    pub(super) fn set_phase(&mut self, now: Instant, phase: Phase) {
        let record = self.view.set_phase(phase);
        self.dissemination.push(record, self.view.len());
        self.refresh_members(now);
    }

    pub(super) fn advance_phase(&mut self, now: Instant, out: &mut Vec<Action>) {
        let next = match self.phase() {
            Phase::Joining if self.may_activate(now) => Phase::Active,
            Phase::Leaving if self.may_leave(now) => Phase::Left,
            _ => return,
        };
        if next == Phase::Left {
            self.relations.left_at = Some(now);
        }
        self.set_phase(now, next);
        out.push(Action::EnteredPhase { phase: next });
    }

    /// Returns whether this member has left for so long that those who took
    /// its slots over need it no more.
    pub fn take_over_window_elapsed(&self, now: Instant) -> bool {
        let left = self.relations.left_at;
        left.is_some_and(|at| now.since(at) >= TAKE_OVER_WAIT)
    }

    pub(super) fn may_activate(&self, now: Instant) -> bool {
        if self.behind_since.is_some() || self.catalog.revision() == Revision::default() {
            return false;
        }
        !self.recovery.is_fetching() || now.since(self.started) >= JOIN_LIMIT
    }

    pub(super) fn may_leave(&self, now: Instant) -> bool {
        let Some(deadline) = self.relations.leave_deadline else {
            return false;
        };
        let announced = now + self.options.leave_timeout >= deadline + LEAVE_ANNOUNCE;
        now >= deadline || (announced && self.successors_are_served())
    }

    pub(super) fn leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        if matches!(self.phase(), Phase::Leaving | Phase::Left) {
            return;
        }
        self.relations.leave_deadline = Some(now + self.options.leave_timeout);
        self.set_phase(now, Phase::Leaving);
        out.push(Action::EnteredPhase {
            phase: Phase::Leaving,
        });
    }

    /// Decides whether this member is among the few of its zone that watch
    /// the store.
    pub(super) fn update_watch(&mut self, out: &mut Vec<Action>) {
        let on = self.watches();
        if on != self.watching {
            self.watching = on;
            out.push(Action::WatchStore { on });
        }
    }

    pub(super) fn watches(&self) -> bool {
        let me = self.view.my_record();
        let before_me = self
            .view
            .peers()
            .filter(|m| m.record.zone == me.zone && m.record.incarnation > 0)
            .filter(|m| m.record.health == Health::Alive && m.record.id < me.id)
            .count();
        before_me < self.options.watchers_per_zone
    }
}
