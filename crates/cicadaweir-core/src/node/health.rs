//! Probing: which targets this member probes, and what passing packets show.

use crate::{
    hash,
    load::{Admission, Judge, Mark, Passive},
    membership::{Member, MemberId},
    prelude::*,
};

use super::{Node, marks::Finding};

/// What a node keeps of one target.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetState {
    pub judge: Judge,
    pub passive: Passive,
    pub admission: Admission,
    /// The finding of the target's own zone.
    pub home: Finding,
    /// The finding of members that saw none of the target's zone.
    pub remote: Option<Finding>,
    /// When the mark in use last changed here.
    pub marked_since: Instant,
    pub load_version: u32,
    pub probed_here: bool,
    pub next_probe: Instant,
}

/// The parts into which the time of a ramp is divided.
const RAMP_PARTS: u64 = 256;

impl Node {
    pub(super) fn grow_targets(&mut self, now: Instant) {
        let count = self.catalog.targets().count();
        self.targets.resize_with(count, || TargetState {
            marked_since: now,
            ..TargetState::default()
        });
    }

    /// Recomputes which targets this member probes: each target has one
    /// prober, of its own zone if that has any member.
    pub(super) fn refresh_probing(&mut self, now: Instant) {
        let members: Vec<Member> = self.view.iter().filter(|m| m.owns()).copied().collect();
        let me = self.view.me();
        for (key, target) in self.catalog.targets() {
            let zone = target.spec.zone;
            let local = members.iter().filter(|m| m.record.zone == zone);
            let prober = best_prober(key, local).or_else(|| best_prober(key, members.iter()));
            let state = &mut self.targets[key.0 as usize];
            state.probed_here = prober == Some(me) && target.spec.probe.is_some();
        }
        self.refresh_marks(now);
    }

    pub(super) fn tick_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        let interval = self.options.load.probe_interval;
        for (at, state) in self.targets.iter_mut().enumerate() {
            if !state.probed_here || now < state.next_probe {
                continue;
            }
            state.next_probe = now + interval;
            let target = TargetKey(at as u32);
            out.push(Action::ProbeTarget { target });
        }
    }

    /// Returns whether a mark is known for long enough that every reachable
    /// member has heard it.
    pub(super) fn mark_is_settled(&self, now: Instant, target: TargetKey) -> bool {
        let state = &self.targets[target.0 as usize];
        now.since(state.marked_since) >= self.options.load.settle
    }

    /// Returns whether a ramping target takes this flow: its part of the
    /// flows grows with the time since its mark.
    pub(super) fn ramp_admits(
        &self,
        now: Instant,
        arrival: &super::placing::Arrival,
        target: TargetKey,
    ) -> bool {
        let state = &self.targets[target.0 as usize];
        let ramp = self.options.load.ramp.as_micros().max(1);
        let passed = now.since(state.marked_since).as_micros();
        let part = (RAMP_PARTS * passed / ramp).max(RAMP_PARTS / 10);
        hash::mix(arrival.hash, 3) % RAMP_PARTS < part
    }

    pub(super) fn observe_answer(&mut self, now: Instant, info: &PacketInfo, target: TargetKey) {
        if info.kind == PacketKind::OpeningAnswer {
            self.targets[target.0 as usize].passive.answer(now);
        }
    }

    /// Returns whether a target answered an opening within a span.
    pub(super) fn answers_openings(&self, now: Instant, target: TargetKey, span: Duration) -> bool {
        let state = &self.targets[target.0 as usize];
        state.passive.answered_within(now, span) && self.catalog.target(target).mark != Mark::Down
    }
}

fn best_prober<'a>(key: TargetKey, members: impl Iterator<Item = &'a Member>) -> Option<MemberId> {
    members
        .map(|m| m.record.id)
        .max_by_key(|id| hash::mix(u64::from(id.0), u64::from(key.0) | 1 << 40))
}
