//! Marks of targets: derived from probes, spread by gossip, and applied.
//!
//! A target's mark is the finding of its prober, a member of its own zone.
//! Members that cannot reach any member of that zone probe the target
//! themselves. Their finding is called remote and applies only on members that
//! cannot reach the zone either, so that a partition between zones does not
//! mark a target as down on members that reach it. When the partition has
//! ended, members that receive a remote finding treat the target's buckets as
//! ambiguous, because flows may have been placed on other targets meanwhile.

use crate::{
    load::{Mark, MarkUpdate, ProbeResult},
    message::Message,
    prelude::*,
};

use super::Node;

/// A versioned mark of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Finding {
    /// Increases with every change.
    pub version: u32,
    /// The mark.
    pub mark: Mark,
}

impl Node {
    /// Evaluates the result of a probe and publishes a changed mark and load.
    pub(super) fn handle_probe_result(
        &mut self,
        now: Instant,
        target: TargetKey,
        result: ProbeResult,
    ) {
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
            self.record_finding(now, target, next);
        }
        if let ProbeResult::Healthy(report) = result {
            self.publish_load(now, target, report);
        }
    }

    /// Records a mark that this member's own probes led to as a finding.
    fn record_finding(&mut self, now: Instant, target: TargetKey, mark: Mark) {
        let remote = !self.zone_has_members(target);
        let state = &self.targets[target.0 as usize];
        let version = if remote {
            state.remote.map_or(0, |f| f.version) + 1
        } else {
            state.local.version + 1
        };
        let update = MarkUpdate {
            target,
            version,
            mark,
            remote,
        };
        self.merge_finding(now, update);
    }

    /// Merges a finding if it is newer, and queues it for gossip.
    fn merge_finding(&mut self, now: Instant, update: MarkUpdate) {
        let Some(state) = self.targets.get_mut(update.target.0 as usize) else {
            return;
        };
        let finding = Finding {
            version: update.version,
            mark: update.mark,
        };
        let already_ambiguous = state.local.mark.deviates() || state.remote.is_some();
        let newer = if update.remote {
            state.remote.is_none_or(|old| finding > old)
        } else {
            finding > state.local
        };
        if !newer {
            return;
        }
        if update.remote {
            state.remote = Some(finding);
        } else {
            state.local = finding;
        }
        let transmissions = self.gossip_transmissions();
        let key = (update.target, update.remote);
        self.pending_marks.insert(key, (update, transmissions));
        if !already_ambiguous && update.mark.deviates() {
            self.urgent_marks.push(update);
        }
        self.apply_mark(now, update.target);
    }

    /// Sends marks that make buckets ambiguous along the tree without waiting
    /// for gossip: until a member knows such a mark, it forwards packets of
    /// flows that were placed on other targets to the wrong target.
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

    /// Merges findings from another member.
    pub(super) fn merge_marks(&mut self, now: Instant, marks: &[MarkUpdate]) {
        for update in marks {
            self.merge_finding(now, *update);
        }
    }

    /// Applies the mark that follows from the local and remote findings.
    fn apply_mark(&mut self, now: Instant, target: TargetKey) {
        let zone_has_members = self.zone_has_members(target);
        let state = &mut self.targets[target.0 as usize];
        let mark = match state.remote {
            Some(finding) if !zone_has_members => finding.mark,
            Some(_) => state.local.mark.max(Mark::Settled),
            None => state.local.mark,
        };
        if self.catalog.target(target).mark == mark {
            return;
        }
        state.mark_changed_at = now;
        self.catalog.set_mark(target, mark);
        let service = self.catalog.target(target).service;
        self.refresh_ambiguous_slots(service);
    }

    /// Returns whether the target's zone has a reachable member that probes.
    fn zone_has_members(&self, target: TargetKey) -> bool {
        self.probers
            .has_members(self.catalog.target(target).spec.zone)
    }

    /// Applies remote findings again after the view changed, and gossips them
    /// to members that could not be reached before.
    pub(super) fn reapply_marks(&mut self, now: Instant) {
        let transmissions = self.gossip_transmissions();
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
            self.pending_marks
                .insert((target, true), (update, transmissions));
            self.apply_mark(now, target);
        }
    }

    /// Returns how often one update is gossiped: logarithmic in the number of
    /// members.
    pub(super) fn gossip_transmissions(&self) -> u32 {
        let members = self.view.len();
        2 * (usize::BITS - members.leading_zeros())
    }

    /// Returns up to `max` marks for one message, those with the most
    /// transmissions left first, and counts the transmission.
    pub(super) fn next_mark_updates(&mut self, max: usize) -> Vec<MarkUpdate> {
        self.pending_marks
            .sort_unstable_by(|_, a, _, b| b.1.cmp(&a.1));
        let updates: Vec<MarkUpdate> = self.pending_marks.values().take(max).map(|n| n.0).collect();
        for update in &updates {
            self.pending_marks[&(update.target, update.remote)].1 -= 1;
        }
        self.pending_marks.retain(|_, n| n.1 > 0);
        updates
    }
}
