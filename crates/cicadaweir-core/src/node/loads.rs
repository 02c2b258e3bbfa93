//! Loads of targets: published by probers, spread, spent by owners.

use crate::{
    load::{LoadUpdate, Report},
    prelude::*,
};

use super::Node;

/// A change of open connections, as a part of the limit, that is news.
const OPEN_STEP: u32 = 16;

impl Node {
    /// Publishes a report if it says anything new.
    pub(super) fn publish_load(&mut self, now: Instant, target: TargetKey, report: Report) {
        let connections = self.catalog.target(target).spec.connections;
        let state = &mut self.targets[target.0 as usize];
        let update = LoadUpdate {
            target,
            version: state.load_version + 1,
            open: report.open,
            pending: report.pending,
            rate: state.judge.rate().round() as u32,
        };
        let last = state.admission.last_report().copied();
        let changed = last.is_none_or(|last| is_news(&last, &update, connections));
        if !changed && report.pending == 0 {
            return;
        }
        state.load_version = update.version;
        state.admission.report(now, update);
        self.queue_load(target);
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
        let spec = &self.catalog.target(target).spec;
        let state = &self.targets[target.0 as usize];
        state.admission.admits(
            now,
            spec.connections,
            spec.slots,
            self.view.owners(),
            &self.options.load,
        )
    }

    pub(super) fn count_placed(&mut self, target: TargetKey) {
        let state = &mut self.targets[target.0 as usize];
        state.admission.place();
        state.passive.opening();
    }

    pub(super) fn fullness(&self, target: TargetKey) -> f64 {
        let connections = self.catalog.target(target).spec.connections;
        let state = &self.targets[target.0 as usize];
        state.admission.fullness(connections, self.view.owners())
    }

    /// Returns the connections that a target last reported.
    pub(super) fn reported_open(&self, _now: Instant, target: TargetKey) -> u32 {
        let state = &self.targets[target.0 as usize];
        state.admission.last_report().map_or(0, |r| r.open)
    }
}

/// Returns whether a load differs enough from the last published one.
fn is_news(last: &LoadUpdate, next: &LoadUpdate, connections: u32) -> bool {
    let step = (connections / OPEN_STEP).max(1);
    next.open.abs_diff(last.open) >= step
        || next.pending != last.pending
        || next.rate.abs_diff(last.rate) * 4 > last.rate.max(4)
}
