//! Loads of targets: published by probers, spread, spent by owners.

use crate::{
    load::{Limits, LoadUpdate, Report, is_loaded},
    prelude::*,
};

use super::Node;

impl Node {
    /// Publishes a report while it limits openings, and once when it no
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
        state.admission.report(now, update);
        self.queue_load(target);
    }

    pub(super) fn limits(&self, target: TargetKey) -> Limits {
        let spec = &self.catalog.target(target).spec;
        Limits {
            connections: spec.connections,
            slots: spec.slots,
        }
    }

    fn queue_load(&mut self, target: TargetKey) {
        let sends = self.news_transmissions();
        self.load_news.insert(target, sends);
    }

    pub(super) fn hear_loads(&mut self, now: Instant, loads: &[LoadUpdate]) {
        for update in loads {
            let Some(state) = self.targets.get_mut(update.target.0 as usize) else {
                continue;
            };
            if state.admission.report(now, *update) {
                state.load_version = state.load_version.max(update.version);
                self.queue_load(update.target);
            }
        }
    }

    pub(super) fn take_load_news(&mut self, most: usize) -> Vec<LoadUpdate> {
        self.load_news.sort_unstable_by(|_, a, _, b| b.cmp(a));
        let keys: Vec<TargetKey> = self.load_news.keys().take(most).copied().collect();
        let mut news = Vec::new();
        for key in keys {
            self.load_news[&key] -= 1;
            let state = &self.targets[key.0 as usize];
            news.extend(state.admission.last_report().copied());
        }
        self.load_news.retain(|_, sends| *sends > 0);
        news
    }

    pub(super) fn admits(&self, now: Instant, target: TargetKey) -> bool {
        let admission = &self.targets[target.0 as usize].admission;
        let members = self.view.owners();
        admission.admits(now, self.limits(target), members, &self.options.load)
    }

    pub(super) fn count_placed(&mut self, now: Instant, target: TargetKey) {
        let state = &mut self.targets[target.0 as usize];
        state.admission.record_placement(now, &self.options.load);
        state.passive.opening();
    }

    pub(super) fn utilization(&self, target: TargetKey) -> f64 {
        let admission = &self.targets[target.0 as usize].admission;
        let members = self.view.owners();
        admission.utilization(self.limits(target), members, &self.options.load)
    }

    /// Returns the connections that a target last reported.
    pub(super) fn reported_open(&self, _now: Instant, target: TargetKey) -> u32 {
        let state = &self.targets[target.0 as usize];
        state.admission.last_report().map_or(0, |r| r.open)
    }
}
