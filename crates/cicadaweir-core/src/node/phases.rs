//! This member's phases (joining, active, leaving, left), and the period after a
//! start or a pause in which its state may be stale.

use crate::{
    membership::{Health, Phase},
    prelude::*,
};

use super::{Guard, Node};

/// How long a joining member waits for exceptions before it becomes active.
const JOIN_FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a planned stop is announced before ownership may move.
const LEAVE_ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_000);

/// How long a member that has left answers take-over requests for its slots.
const TAKE_OVER_SERVE_PERIOD: Duration = Duration::from_millis(2_500);

impl Node {
    /// Marks this member's state as stale after a pause of the process, so that it
    /// places no flows until another member has answered.
    pub(super) fn resume_after_pause(&mut self, now: Instant) {
        if self.guard_enabled(Guard::Behind) {
            self.stale_since = Some(now);
        }
        self.detector.clear_pending_probes();
    }

    /// Marks this member's state as current, unless requested notes are outstanding.
    pub(super) fn clear_stale(&mut self, now: Instant) {
        let up_to_date = self.notes_requested_at.is_none();
        if self.stale_since.is_some() && up_to_date {
            self.stale_since = None;
            self.apply_view_change(now);
        }
    }

    /// Marks this member's state as current without an answer from another member,
    /// once the isolation timeout has passed or if no peer is reachable. Does
    /// nothing without a catalog.
    pub(super) fn end_isolation(&mut self, now: Instant) {
        let Some(since) = self.stale_since else {
            return;
        };
        let no_peers = self.view.peers().next().is_none();
        let timed_out = now.since(since) >= self.options.isolation_timeout;
        let has_catalog = self.catalog.revision() > Revision::default();
        if has_catalog && (timed_out || no_peers) {
            self.stale_since = None;
            self.apply_view_change(now);
        }
    }

    /// Returns to the joining phase after the others considered this member
    /// dead, because its buckets now have other owners.
    pub(super) fn rejoin(&mut self, now: Instant) {
        if matches!(self.phase(), Phase::Active | Phase::Joining) {
            self.joining_since = now;
            self.set_phase(now, Phase::Joining);
            self.recovery.clear_lost();
        }
    }

    /// Enters a phase and queues this member's record for gossip.
    pub(super) fn set_phase(&mut self, now: Instant, phase: Phase) {
        let record = self.view.set_phase(phase);
        self.dissemination.push(record, self.view.len());
        self.apply_view_change(now);
    }

    /// Enters the next phase if its conditions are met.
    pub(super) fn advance_phase(&mut self, now: Instant, out: &mut Vec<Action>) {
        let next = match self.phase() {
            Phase::Joining if self.may_activate(now) => Phase::Active,
            Phase::Leaving if self.may_leave(now) => Phase::Left,
            _ => return,
        };
        if next == Phase::Left {
            self.exchange.left_at = Some(now);
        }
        self.set_phase(now, next);
        out.push(Action::EnteredPhase { phase: next });
    }

    /// Returns whether this member has left and the time has passed for which it
    /// answers the take-over requests of its slots' new owners.
    pub fn take_over_window_elapsed(&self, now: Instant) -> bool {
        let left = self.exchange.left_at;
        left.is_some_and(|at| now.since(at) >= TAKE_OVER_SERVE_PERIOD)
    }

    /// Returns whether this member may become active: its state is not stale, it
    /// has a catalog, and it has fetched exceptions or waited long enough for them.
    pub(super) fn may_activate(&self, now: Instant) -> bool {
        if self.stale_since.is_some() || self.catalog.revision() == Revision::default() {
            return false;
        }
        !self.recovery.is_fetching() || now.since(self.joining_since) >= JOIN_FETCH_TIMEOUT
    }

    /// Returns whether this member may leave: the next owners have fetched its
    /// exceptions after the announcement period, or the deadline has passed.
    pub(super) fn may_leave(&self, now: Instant) -> bool {
        let Some(deadline) = self.exchange.leave_deadline else {
            return false;
        };
        let announced = now + self.options.leave_timeout >= deadline + LEAVE_ANNOUNCEMENT_PERIOD;
        now >= deadline || (announced && self.successors_have_exceptions())
    }

    /// Starts a planned stop; has no effect if one has started before.
    pub(super) fn start_leaving(&mut self, now: Instant, out: &mut Vec<Action>) {
        if matches!(self.phase(), Phase::Leaving | Phase::Left) {
            return;
        }
        self.exchange.leave_deadline = Some(now + self.options.leave_timeout);
        self.set_phase(now, Phase::Leaving);
        out.push(Action::EnteredPhase {
            phase: Phase::Leaving,
        });
    }

    /// Starts or stops watching the store when this member's role changes.
    pub(super) fn update_store_watch(&mut self, out: &mut Vec<Action>) {
        let on = self.should_watch_store();
        if on != self.watching_store {
            self.watching_store = on;
            out.push(Action::WatchStore { on });
        }
    }

    /// Returns whether this member watches the store: those with the lowest ids
    /// in each zone do.
    pub(super) fn should_watch_store(&self) -> bool {
        let me = self.view.my_record();
        let lower_ids = self
            .view
            .peers()
            .filter(|m| m.record.zone == me.zone && m.record.incarnation > 0)
            .filter(|m| m.record.health == Health::Alive && m.record.id < me.id)
            .count();
        lower_ids < self.options.watchers_per_zone
    }
}
