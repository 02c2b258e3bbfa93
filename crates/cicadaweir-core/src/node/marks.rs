//! Marks: concluded from probes, passed on, and put to use.
//!
//! A target's mark is the finding of its prober, a member of its own zone.
//! Members that see none of that zone probe the target themselves; their
//! finding counts for them alone, so that a cut between zones makes no target
//! look down to those who can reach it. Once the cut has ended, whoever hears
//! of such a finding treats the target's buckets as ambiguous, because flows
//! may have been placed elsewhere in the meantime.

use crate::{
    load::{Mark, MarkUpdate, ProbeResult},
    message::Message,
    prelude::*,
};

use super::Node;

/// One finding on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Finding {
    /// Grows with every change.
    pub version: u32,
    /// The mark.
    pub mark: Mark,
}

impl Node {
    pub(super) fn probed(&mut self, now: Instant, target: TargetKey, result: ProbeResult) {
        if target.0 as usize >= self.targets.len() {
            return;
        }
        let limits = self.limits(target);
        let mark = self.catalog.target(target).mark;
        let state = &mut self.targets[target.0 as usize];
        let passive = &mut state.passive;
        let options = &self.options.load;
        let next = state
            .tracker
            .record_probe(now, result, mark, limits, passive, options);
        if next != mark {
            self.conclude(now, target, next);
        }
        if let ProbeResult::Healthy(report) = result {
            self.publish_load(now, target, report);
        }
    }

    /// Turns this member's own conclusion into a finding.
    fn conclude(&mut self, now: Instant, target: TargetKey, mark: Mark) {
        let remote = !self.sees_zone_of(target);
        let state = &self.targets[target.0 as usize];
        let version = if remote {
            state.remote.map_or(0, |f| f.version) + 1
        } else {
            state.home.version + 1
        };
        let update = MarkUpdate {
            target,
            version,
            mark,
            remote,
        };
        self.take_mark(now, update);
    }

    /// Takes over a finding if it is newer, and passes it on.
    fn take_mark(&mut self, now: Instant, update: MarkUpdate) {
        let Some(state) = self.targets.get_mut(update.target.0 as usize) else {
            return;
        };
        let finding = Finding {
            version: update.version,
            mark: update.mark,
        };
        let known = state.home.mark.deviates() || state.remote.is_some();
        let newer = if update.remote {
            state.remote.is_none_or(|old| finding > old)
        } else {
            finding > state.home
        };
        if !newer {
            return;
        }
        if update.remote {
            state.remote = Some(finding);
        } else {
            state.home = finding;
        }
        let sends = self.news_transmissions();
        let key = (update.target, update.remote);
        self.mark_news.insert(key, (update, sends));
        if !known && update.mark.deviates() {
            self.urgent_marks.push(update);
        }
        self.use_mark(now, update.target);
    }

    /// Sends marks that make buckets ambiguous along the tree at once: until a
    /// member knows of one, it sends flows that were placed elsewhere to the
    /// wrong target.
    pub(super) fn tick_marks(&mut self, out: &mut Vec<Action>) {
        if self.urgent_marks.is_empty() {
            return;
        }
        let marks = std::mem::take(&mut self.urgent_marks);
        for to in self.tree_neighbours() {
            let marks = marks.clone();
            self.send(to, Message::Marks { marks }, out);
        }
    }

    pub(super) fn hear_marks(&mut self, now: Instant, marks: &[MarkUpdate]) {
        for update in marks {
            self.take_mark(now, *update);
        }
    }

    /// Puts the mark to use that follows from the findings.
    fn use_mark(&mut self, now: Instant, target: TargetKey) {
        let sees_zone = self.sees_zone_of(target);
        let state = &mut self.targets[target.0 as usize];
        let mark = match state.remote {
            Some(finding) if !sees_zone => finding.mark,
            Some(_) => state.home.mark.max(Mark::Settled),
            None => state.home.mark,
        };
        if self.catalog.target(target).mark == mark {
            return;
        }
        state.marked_since = now;
        self.catalog.set_mark(target, mark);
        let service = self.catalog.target(target).service;
        self.refresh_ambiguous_slots(service);
    }

    fn sees_zone_of(&self, target: TargetKey) -> bool {
        self.probers.sees(self.catalog.target(target).spec.zone)
    }

    /// Puts all marks to use again after the view changed, and passes on
    /// remote findings to members that could not be reached before.
    pub(super) fn refresh_marks(&mut self, now: Instant) {
        let sends = self.news_transmissions();
        for at in 0..self.targets.len() {
            let target = TargetKey(at as u32);
            let Some(finding) = self.targets[at].remote else {
                continue;
            };
            let update = MarkUpdate {
                target,
                version: finding.version,
                mark: finding.mark,
                remote: true,
            };
            self.mark_news.insert((target, true), (update, sends));
            self.use_mark(now, target);
        }
    }

    /// Returns how often a piece of news is sent.
    pub(super) fn news_transmissions(&self) -> u32 {
        let members = self.view.len();
        2 * (usize::BITS - members.leading_zeros())
    }

    pub(super) fn take_mark_news(&mut self, most: usize) -> Vec<MarkUpdate> {
        self.mark_news.sort_unstable_by(|_, a, _, b| b.1.cmp(&a.1));
        let news: Vec<MarkUpdate> = self.mark_news.values().take(most).map(|n| n.0).collect();
        for update in &news {
            self.mark_news[&(update.target, update.remote)].1 -= 1;
        }
        self.mark_news.retain(|_, n| n.1 > 0);
        news
    }
}
