//! Probing: which targets this member probes, and what passing packets show.

use crate::{
    hash,
    load::{Admission, HealthTracker, Mark, PassiveHealth},
    prelude::*,
};

use super::{Guard, Node, marks::Finding};

/// What a node keeps of one target.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetState {
    pub tracker: HealthTracker,
    pub passive: PassiveHealth,
    pub admission: Admission,
    /// The finding of the target's own zone.
    pub home: Finding,
    /// The finding of members that saw none of the target's zone.
    pub remote: Option<Finding>,
    /// When the mark in use last changed here.
    pub marked_since: Instant,
    pub load_version: u32,
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
    /// prober, of its own zone if that has any member. Targets fall into slots
    /// by key, and each zone's members share its slots.
    pub(super) fn refresh_probing(&mut self, now: Instant) {
        if !self.probers.update(&self.view) && self.probers.targets == self.targets.len() {
            return;
        }
        let me = self.view.me();
        self.probers.targets = self.targets.len();
        self.probers.mine.clear();
        for (key, target) in self.catalog.targets() {
            let prober = self.probers.prober(key, target.spec.zone);
            if prober == Some(me) && target.spec.probe.is_some() {
                self.probers.mine.push(key);
            }
        }
        self.refresh_marks(now);
    }

    pub(super) fn tick_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        let interval = self.options.load.probe_interval;
        for &target in &self.probers.mine {
            let state = &mut self.targets[target.0 as usize];
            if now >= state.next_probe {
                state.next_probe = now + interval;
                out.push(Action::ProbeTarget { target });
            }
        }
    }

    /// Returns whether a mark is known for long enough that every reachable
    /// member has heard it.
    pub(super) fn mark_is_settled(&self, now: Instant, target: TargetKey) -> bool {
        let state = &self.targets[target.0 as usize];
        let settled = now.since(state.marked_since) >= self.options.load.deviation_delay;
        settled || !self.guards(Guard::MarkBeforeDeviating)
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
