//! Which targets and availability zones no longer answer, and what follows.

use crate::{
    catalog::{TargetKey, ZoneId},
    steer::{
        FlowState, Observation, Presence, Progress, RequestKind, ResetReason, TargetEntry, Trust,
        ZoneSet,
    },
    time::Instant,
};

use super::Steering;

/// What speaks against one availability zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneSilence {
    targets: u32,
    strikes: u32,
    since: Option<Instant>,
}

impl ZoneSilence {
    fn add(&mut self, since: Instant, strikes: u32) {
        self.targets += 1;
        self.strikes += strikes;
        self.since = Some(self.since.map_or(since, |known| known.min(since)));
    }
}

impl Steering {
    /// Notes that a target answered something that was sent at `at`.
    pub(super) fn answered(&mut self, at: Instant, target: TargetKey) {
        if let Some(entry) = self.directory.target(target) {
            let known = &mut self.zone_answers[usize::from(entry.zone.0)];
            *known = Some(known.map_or(at, |known| known.max(at)));
        }
        if self.suspicion[target.0 as usize].answered(at) {
            self.counters.cleared += 1;
            self.observations.push(Observation::Cleared { target });
        }
    }

    pub(super) fn strike(&mut self, now: Instant, target: TargetKey, sent: Instant) {
        if now.since(sent) < self.options.strike_after {
            return;
        }
        let suspicion = &mut self.suspicion[target.0 as usize];
        if suspicion.strike(now, sent, &self.options) {
            self.counters.suspected += 1;
            let silent = now.since(sent);
            self.observations
                .push(Observation::Suspected { target, silent });
        }
    }

    /// Returns how far a target is trusted, its availability zone included.
    pub(super) fn trust_in(
        &self,
        now: Instant,
        key: TargetKey,
        entry: &TargetEntry,
        silent: ZoneSet,
    ) -> Trust {
        if silent.contains(entry.zone) {
            return Trust::Suspected;
        }
        self.trust(now, key)
    }

    /// Returns the availability zones that seem cut off: several of a zone's
    /// targets left unanswered what was sent after the zone's last answer, and
    /// other zones have answered since. At least `strikes` unanswered packets
    /// are wanted.
    pub(super) fn silent_zones(&self, strikes: u32) -> ZoneSet {
        if self.suspicion.iter().all(|s| s.strikes() == 0) {
            return ZoneSet::default();
        }
        let mut silences = [ZoneSilence::default(); ZoneSet::MOST];
        for (key, entry) in self.directory.targets() {
            let suspicion = &self.suspicion[key.0 as usize];
            if let Some(since) = suspicion.unanswered_since()
                && !self.has_answered(entry.zone, since)
                && let Some(silence) = silences.get_mut(usize::from(entry.zone.0))
            {
                silence.add(since, suspicion.strikes());
            }
        }
        let mut set = ZoneSet::default();
        for (zone, silence) in silences.iter().enumerate() {
            let Some(since) = silence.since else {
                continue;
            };
            let zone = ZoneId(zone as u16);
            if silence.targets >= self.options.zone_targets
                && silence.strikes >= strikes
                && self.has_answered_elsewhere(zone, since)
            {
                set.insert(zone);
            }
        }
        set
    }

    fn has_answered(&self, zone: ZoneId, since: Instant) -> bool {
        let answer = self.zone_answers.get(usize::from(zone.0)).copied();
        answer.flatten().is_some_and(|at| at > since)
    }

    fn has_answered_elsewhere(&self, zone: ZoneId, since: Instant) -> bool {
        let zones = (0..self.zone_answers.len()).map(|at| ZoneId(at as u16));
        zones
            .filter(|&other| other != zone)
            .any(|other| self.has_answered(other, since))
    }

    /// Returns whether a target must be gone or out of reach: several packets
    /// to it, or to its availability zone, went unanswered while others were
    /// answered.
    ///
    /// One lost packet looks the same as a target that is gone; the number of
    /// strikes makes a mistake as rare as that many losses in a row. A silent
    /// zone speaks against a target only together with strikes of its own:
    /// when two of a zone's three targets die, the third may not have been
    /// asked since.
    fn is_certainly_silent(&self, now: Instant, target: TargetKey) -> bool {
        let certain = self.options.certain_strikes;
        let suspicion = &self.suspicion[target.0 as usize];
        let Some(entry) = self.directory.target(target) else {
            return false;
        };
        let proof = suspicion.proof(now, &self.options);
        let alone = proof >= certain
            && suspicion.silent_since().is_some_and(|since| {
                self.has_answered_elsewhere(entry.zone, since)
                    || self.has_answered(entry.zone, since)
            });
        let in_silent_zone = proof >= self.options.zone_certain_strikes
            && self
                .silent_zones(self.options.zone_proof_strikes)
                .contains(entry.zone);
        alone || in_silent_zone
    }

    /// Decides whether a flow is to be reset, so that its caller can open
    /// another one in time.
    ///
    /// That serves the caller only where the request may run again, and is
    /// allowed only where the target must be gone or out of reach.
    pub(super) fn give_up(
        &self,
        now: Instant,
        flow: &FlowState,
        progress: &Progress,
    ) -> Option<ResetReason> {
        let waits = flow.request_since.is_some() && progress.answered.is_none() && !progress.closed;
        if !waits {
            return None;
        }
        let entry = self.directory.target(flow.target)?;
        let departed = matches!(entry.presence, Presence::Departed { .. });
        let repeats = progress.repeated.is_some();
        if departed && repeats && self.has_fresh_view(now) {
            let proof = self.suspicion[flow.target.0 as usize].proof(now, &self.options);
            let gone = proof >= self.options.departed_strikes;
            return gone.then_some(ResetReason::TargetGone);
        }
        let may_repeat = flow.kind != RequestKind::AtMostOnce;
        let silent = may_repeat && self.is_certainly_silent(now, flow.target);
        silent.then_some(ResetReason::TargetSilent)
    }
}
