//! Health of targets: probe assignment and passive observation of packets.

use crate::{
    hash,
    load::{Admission, HealthTracker, Mark, PassiveHealth},
    prelude::*,
};

use super::{Guard, Node, marks::Finding};

/// Health and load of one target as this member knows them.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetHealth {
    pub tracker: HealthTracker,
    pub passive: PassiveHealth,
    pub admission: Admission,
    /// The finding of the prober in the target's own zone.
    pub local: Finding,
    /// The finding of members that could reach no member of the target's
    /// zone.
    pub remote: Option<Finding>,
    /// When the effective mark last changed on this member.
    pub mark_changed_at: Instant,
    pub load_version: u32,
    pub next_probe: Instant,
}

/// The resolution of the share of flows that a ramping target receives.
const RAMP_RESOLUTION: u64 = 256;

impl Node {
    /// Adds default states for targets that the catalog has gained.
    pub(super) fn add_target_states(&mut self, now: Instant) {
        let count = self.catalog.targets().count();
        self.targets.resize_with(count, || TargetHealth {
            mark_changed_at: now,
            ..TargetHealth::default()
        });
    }

    /// Recomputes which targets this member probes, if members or targets
    /// have changed. Each target has one prober, from its own zone if that has
    /// any member. Targets map to slots by key, and the members of a zone
    /// divide the slots among themselves.
    pub(super) fn assign_probes(&mut self, now: Instant) {
        if !self.probers.update(&self.view) && self.probers.target_count == self.targets.len() {
            return;
        }
        let me = self.view.me();
        self.probers.target_count = self.targets.len();
        self.probers.assigned.clear();
        for (key, target) in self.catalog.targets() {
            let prober = self.probers.prober(key, target.spec.zone);
            if prober == Some(me) && target.spec.probe.is_some() {
                self.probers.assigned.push(key);
            }
        }
        self.reapply_marks(now);
    }

    /// Starts the probes that are due.
    pub(super) fn tick_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        let interval = self.options.load.probe_interval;
        for &target in &self.probers.assigned {
            let state = &mut self.targets[target.0 as usize];
            if now >= state.next_probe {
                state.next_probe = now + interval;
                out.push(Action::ProbeTarget { target });
            }
        }
    }

    /// Returns whether a target's mark has been known for long enough that
    /// every reachable member has received it.
    pub(super) fn mark_has_propagated(&self, now: Instant, target: TargetKey) -> bool {
        let state = &self.targets[target.0 as usize];
        let propagated = now.since(state.mark_changed_at) >= self.options.load.deviation_delay;
        propagated || !self.guard_enabled(Guard::MarkBeforeDeviating)
    }

    /// Returns whether a ramping target receives this flow. The target's share
    /// of flows grows with the time since its mark changed, starting at a
    /// tenth.
    pub(super) fn ramp_admits(
        &self,
        now: Instant,
        arrival: &super::placing::Arrival,
        target: TargetKey,
    ) -> bool {
        let state = &self.targets[target.0 as usize];
        let ramp = self.options.load.ramp.as_micros().max(1);
        let elapsed = now.since(state.mark_changed_at).as_micros();
        let share = (RAMP_RESOLUTION * elapsed / ramp).max(RAMP_RESOLUTION / 10);
        hash::mix(arrival.hash, 3) % RAMP_RESOLUTION < share
    }

    /// Counts a target's answer to an opening for passive health checks.
    pub(super) fn record_opening_answer(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        target: TargetKey,
    ) {
        if info.kind == PacketKind::OpeningAnswer {
            self.targets[target.0 as usize].passive.record_answer(now);
        }
    }

    /// Returns whether a target that is not marked as down answered an
    /// opening within the last `span`.
    pub(super) fn answered_opening_within(
        &self,
        now: Instant,
        target: TargetKey,
        span: Duration,
    ) -> bool {
        let state = &self.targets[target.0 as usize];
        state.passive.answered_within(now, span) && self.catalog.target(target).mark != Mark::Down
    }
}
