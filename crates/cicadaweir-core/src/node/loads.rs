//! Loads of targets: published by probers, spread by gossip, and used by
//! owners for admission control.

use crate::{
    load::{Limits, LoadUpdate, Report, is_loaded},
    prelude::*,
};

use super::Node;

impl Node {
    /// Publishes a report while it limits openings, and once more when it no
    /// longer does.
    pub(super) fn publish_load(&mut self, now: Instant, target: TargetKey, report: Report) {
        let limits = self.limits(target);
        let state = &mut self.targets[target.0 as usize];
        let update = LoadUpdate {
            target,
            version: state.load_version + 1,
            open: report.open,
            pending: report.pending,
            rate: state.tracker.rate().round() as u32,
        };
        let options = &self.options.load;
        let last = state.admission.last_report();
        let was_loaded = last.is_some_and(|last| is_loaded(last, limits, options));
        if !was_loaded && !is_loaded(&update, limits, options) {
            return;
        }
        state.load_version = update.version;
        state.admission.record_report(now, update);
        self.queue_load(target);
    }

    /// Returns the configured limits of a target.
    pub(super) fn limits(&self, target: TargetKey) -> Limits {
        let spec = &self.catalog.target(target).spec;
        Limits {
            connections: spec.connections,
            slots: spec.slots,
        }
    }

    fn queue_load(&mut self, target: TargetKey) {
        let transmissions = self.gossip_transmissions();
        self.pending_loads.insert(target, transmissions);
    }

    /// Merges loads from another member and queues newer ones for gossip.
    pub(super) fn merge_loads(&mut self, now: Instant, loads: &[LoadUpdate]) {
        for update in loads {
            let Some(state) = self.targets.get_mut(update.target.0 as usize) else {
                continue;
            };
            if state.admission.record_report(now, *update) {
                state.load_version = state.load_version.max(update.version);
                self.queue_load(update.target);
            }
        }
    }

    /// Returns up to `max` loads for one message, those with the most
    /// transmissions left first, and counts the transmission.
    pub(super) fn next_load_updates(&mut self, max: usize) -> Vec<LoadUpdate> {
        self.pending_loads.sort_unstable_by(|_, a, _, b| b.cmp(a));
        let keys: Vec<TargetKey> = self.pending_loads.keys().take(max).copied().collect();
        let mut updates = Vec::new();
        for key in keys {
            self.pending_loads[&key] -= 1;
            let state = &self.targets[key.0 as usize];
            updates.extend(state.admission.last_report().copied());
        }
        self.pending_loads
            .retain(|_, transmissions| *transmissions > 0);
        updates
    }

    /// Returns whether admission control allows one more opening to a target.
    pub(super) fn admits(&self, now: Instant, target: TargetKey) -> bool {
        let admission = &self.targets[target.0 as usize].admission;
        let members = self.view.owner_count();
        admission.admits(now, self.limits(target), members, &self.options.load)
    }

    /// Records that a flow was placed on a target.
    pub(super) fn record_placement(&mut self, now: Instant, target: TargetKey) {
        let state = &mut self.targets[target.0 as usize];
        state.admission.record_placement(now, &self.options.load);
        state.passive.record_opening();
    }

    /// Returns a target's utilization, from 0 for idle to 1 for full.
    pub(super) fn utilization(&self, target: TargetKey) -> f64 {
        let admission = &self.targets[target.0 as usize].admission;
        let members = self.view.owner_count();
        admission.utilization(self.limits(target), members, &self.options.load)
    }

    /// Returns the open connections that a target last reported, or 0.
    pub(super) fn reported_open(&self, _now: Instant, target: TargetKey) -> u32 {
        let state = &self.targets[target.0 as usize];
        state.admission.last_report().map_or(0, |r| r.open)
    }
}
