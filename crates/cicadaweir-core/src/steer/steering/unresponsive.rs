//! Detection of unresponsive targets and availability zones, and resets of
//! their flows.

use crate::{
    catalog::{TargetKey, ZoneId},
    steer::{
        FlowState, Observation, Presence, Progress, RequestKind, ResetReason, TargetEntry, Trust,
        ZoneSet,
    },
    time::Instant,
};

use super::Steering;

/// The unanswered packets of one availability zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneUnanswered {
    targets: u32,
    retransmissions: u32,
    earliest_sent: Option<Instant>,
}

impl ZoneUnanswered {
    fn add(&mut self, sent: Instant, retransmissions: u32) {
        self.targets += 1;
        self.retransmissions += retransmissions;
        self.earliest_sent = Some(self.earliest_sent.map_or(sent, |known| known.min(sent)));
    }
}

impl Steering {
    /// Records that a target answered a packet that was sent at `sent`.
    pub(super) fn record_answer(&mut self, sent: Instant, target: TargetKey) {
        if let Some(entry) = self.directory.target(target) {
            let known = &mut self.zone_last_answered_sent[usize::from(entry.zone.0)];
            *known = Some(known.map_or(sent, |known| known.max(sent)));
        }
        if self.suspicion[target.0 as usize].record_answer(sent) {
            self.counters.cleared += 1;
            self.observations.push(Observation::Cleared { target });
        }
    }

    /// Records a retransmission of a packet that was first sent at `sent` and that
    /// a target has not answered, unless it was sent too recently to count.
    pub(super) fn record_unanswered(&mut self, now: Instant, target: TargetKey, sent: Instant) {
        if now.since(sent) < self.options.min_unanswered_time {
            return;
        }
        let suspicion = &mut self.suspicion[target.0 as usize];
        if suspicion.record_unanswered(now, sent, &self.options) {
            self.counters.suspected += 1;
            let silent = now.since(sent);
            self.observations
                .push(Observation::Suspected { target, silent });
        }
    }

    /// Returns whether a target may get new flows, considering its availability
    /// zone too.
    pub(super) fn effective_trust(
        &self,
        now: Instant,
        key: TargetKey,
        entry: &TargetEntry,
        unresponsive: ZoneSet,
    ) -> Trust {
        if unresponsive.contains(entry.zone) {
            return Trust::Suspected;
        }
        self.trust(now, key)
    }

    /// Returns the availability zones that are probably cut off: several of a
    /// zone's targets have unanswered packets that were sent after the latest
    /// packet that the zone has answered, and another zone has answered a packet
    /// that was sent after the first of these. At least `min_retransmissions`
    /// unanswered retransmissions to these targets are required.
    pub(super) fn unresponsive_zones(&self, min_retransmissions: u32) -> ZoneSet {
        if self.suspicion.iter().all(|s| s.unanswered() == 0) {
            return ZoneSet::default();
        }
        let mut zones = [ZoneUnanswered::default(); ZoneSet::CAPACITY];
        for (key, entry) in self.directory.targets() {
            let suspicion = &self.suspicion[key.0 as usize];
            if let Some(sent) = suspicion.last_unanswered_sent()
                && !self.has_answered(entry.zone, sent)
                && let Some(zone) = zones.get_mut(usize::from(entry.zone.0))
            {
                zone.add(sent, suspicion.unanswered());
            }
        }
        let mut set = ZoneSet::default();
        for (at, unanswered) in zones.iter().enumerate() {
            let Some(sent) = unanswered.earliest_sent else {
                continue;
            };
            let zone = ZoneId(at as u16);
            if unanswered.targets >= self.options.zone_unresponsive_targets
                && unanswered.retransmissions >= min_retransmissions
                && self.has_answered_elsewhere(zone, sent)
            {
                set.insert(zone);
            }
        }
        set
    }

    /// Returns whether a zone has answered a packet that was sent after `since`.
    fn has_answered(&self, zone: ZoneId, since: Instant) -> bool {
        let answer = self
            .zone_last_answered_sent
            .get(usize::from(zone.0))
            .copied();
        answer.flatten().is_some_and(|at| at > since)
    }

    /// Returns whether any other zone has answered a packet that was sent after
    /// `since`.
    fn has_answered_elsewhere(&self, zone: ZoneId, since: Instant) -> bool {
        let zones = (0..self.zone_last_answered_sent.len()).map(|at| ZoneId(at as u16));
        zones
            .filter(|&other| other != zone)
            .any(|other| self.has_answered(other, since))
    }

    /// Returns whether a target counts as crashed or unreachable: several packets
    /// to it, or to its availability zone, are unanswered while other targets
    /// have answered.
    ///
    /// A single lost packet is indistinguishable from a crashed target; requiring
    /// several retransmissions makes a false positive as rare as that many losses
    /// in a row. A target in an unresponsive zone counts as unresponsive only if
    /// packets to that target are unanswered too: when two of a zone's three
    /// targets crash, the third may not have received a packet since.
    fn is_unresponsive(&self, now: Instant, target: TargetKey) -> bool {
        let required = self.options.reset_retransmissions;
        let suspicion = &self.suspicion[target.0 as usize];
        let Some(entry) = self.directory.target(target) else {
            return false;
        };
        let retransmissions = suspicion.recent_unanswered(now, &self.options);
        let by_itself = retransmissions >= required
            && suspicion.first_unanswered_sent().is_some_and(|since| {
                self.has_answered_elsewhere(entry.zone, since)
                    || self.has_answered(entry.zone, since)
            });
        let in_unresponsive_zone = retransmissions >= self.options.zone_reset_retransmissions
            && self
                .unresponsive_zones(self.options.zone_unresponsive_retransmissions)
                .contains(entry.zone);
        by_itself || in_unresponsive_zone
    }

    /// Returns the reason to reset a flow, so that its caller can open another
    /// one before its request times out; none if the flow continues.
    ///
    /// While the view of the store is recent, a retransmission in a flow whose
    /// target has departed resets the flow once several retransmissions to that
    /// target are unanswered. Any other flow is reset only if its target is
    /// unresponsive and its requests may run more than once, as its caller could
    /// not repeat the request otherwise.
    pub(super) fn reset_reason(
        &self,
        now: Instant,
        flow: &FlowState,
        progress: &Progress,
    ) -> Option<ResetReason> {
        let awaits_response =
            flow.request_since.is_some() && progress.answered.is_none() && !progress.closed;
        if !awaits_response {
            return None;
        }
        let entry = self.directory.target(flow.target)?;
        let departed = matches!(entry.presence, Presence::Departed { .. });
        let retransmitted = progress.retransmitted.is_some();
        if departed && retransmitted && self.has_view_within(now, self.options.max_view_age) {
            let retransmissions =
                self.suspicion[flow.target.0 as usize].recent_unanswered(now, &self.options);
            let unanswered = retransmissions >= self.options.departed_reset_retransmissions;
            return unanswered.then_some(ResetReason::TargetGone);
        }
        let may_rerun = flow.kind != RequestKind::AtMostOnce;
        let unresponsive = may_rerun && self.is_unresponsive(now, flow.target);
        unresponsive.then_some(ResetReason::TargetSilent)
    }
}
