//! Placement of openings on targets.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    steer::{
        Candidate, OpeningInputs, TargetEntry, Trust, ZoneAffinity, ZonePenalties, ZoneSet, choose,
    },
    time::Instant,
};

use super::Steering;

impl Steering {
    /// Returns whether an opening for a service can be placed without waiting: the
    /// service's limit admits it, and one of the trusted targets isn't full, or no
    /// target is trusted, so that waiting would not help.
    pub(super) fn has_capacity(&self, now: Instant, service: ServiceKey) -> bool {
        if !self.is_within_limit(now, service) {
            return false;
        }
        let eligible = self.directory.eligible_targets(service);
        let mut trusted = eligible
            .filter(|&(key, _)| self.trust(now, key) == Trust::Trusted)
            .peekable();
        trusted.peek().is_none()
            || trusted.any(|(key, entry)| {
                self.in_flight_per_slot(key, entry) < self.options.full_per_slot
            })
    }

    /// Returns the saturation of a target: 0 below
    /// [`crate::steer::Options::busy_per_slot`], 1 from there on, 2 if it is full.
    fn saturation(&self, key: TargetKey, entry: &TargetEntry) -> u8 {
        let in_flight = self.in_flight_per_slot(key, entry);
        let bounds = [self.options.busy_per_slot, self.options.full_per_slot];
        bounds.iter().filter(|&&bound| in_flight >= bound).count() as u8
    }

    fn in_flight_per_slot(&self, key: TargetKey, entry: &TargetEntry) -> f32 {
        self.target_load(key).in_flight as f32 / entry.slots as f32
    }

    /// Chooses a target for an opening, other than `avoid` if possible; none if no
    /// target is eligible.
    pub(super) fn place(
        &mut self,
        now: Instant,
        service: ServiceKey,
        avoid: Option<TargetKey>,
    ) -> Option<(TargetKey, OpeningInputs)> {
        let unresponsive = self.unresponsive_zones(0);
        let mut draw = Pcg64Mcg::seed_from_u64(self.rng.next_u64());
        let chosen = self.choose_candidate(now, service, avoid, unresponsive, &mut draw)?;
        let inputs = self.opening_inputs(now, service, chosen, unresponsive);
        self.begin_probe(now, chosen.target, unresponsive);
        Some((chosen.target, inputs))
    }

    /// Chooses among the eligible targets of the best rank. Targets other than
    /// `avoid` rank first, then more trusted ones, then less saturated ones.
    /// Without `avoid`, a target that may be probed now ranks as trusted.
    fn choose_candidate(
        &self,
        now: Instant,
        service: ServiceKey,
        avoid: Option<TargetKey>,
        unresponsive: ZoneSet,
        draw: &mut impl RngCore,
    ) -> Option<Candidate> {
        let penalties = self.zone_penalties(now, service, unresponsive);
        let rank = |key, entry: &TargetEntry| {
            let probes = avoid.is_none() && self.may_probe(now, key, entry, unresponsive);
            let trust = self.effective_trust(now, key, entry, unresponsive);
            let trust = if probes { Trust::Trusted } else { trust };
            (Some(key) == avoid, trust, self.saturation(key, entry))
        };
        let eligible = || self.directory.eligible_targets(service);
        let best = eligible().map(|(key, entry)| rank(key, entry)).min()?;
        let candidates = eligible()
            .filter(|&(key, entry)| rank(key, entry) == best)
            .map(|(key, entry)| self.candidate(now, key, entry, &penalties));
        choose(candidates, draw)
    }

    fn opening_inputs(
        &self,
        now: Instant,
        service: ServiceKey,
        chosen: Candidate,
        unresponsive: ZoneSet,
    ) -> OpeningInputs {
        let eligible = self.directory.eligible_targets(service);
        let trust =
            eligible.map(|(key, entry)| self.effective_trust(now, key, entry, unresponsive));
        let mut inputs = OpeningInputs {
            score: chosen.score,
            in_flight: self.target_load(chosen.target).in_flight as f32,
            slowdown: self.slowdown(now, service, self.zone),
            ..OpeningInputs::default()
        };
        for trust in trust {
            inputs.candidates += 1;
            inputs.trusted += u32::from(trust == Trust::Trusted);
        }
        inputs
    }

    /// Records that a flow was placed on a target, if the target is on probation.
    /// The flow is a probe: no other one is placed there until it shows whether
    /// the target answers, or until the initial backoff has passed.
    fn begin_probe(&mut self, now: Instant, target: TargetKey, unresponsive: ZoneSet) {
        if self.trust(now, target) != Trust::Probation {
            return;
        }
        self.suspicion[target.0 as usize].begin_probe(now, self.options.initial_backoff);
        if let Some(entry) = self.directory.target(target)
            && unresponsive.contains(entry.zone)
        {
            self.zone_probed_at[usize::from(entry.zone.0)] = Some(now);
        }
    }

    /// Returns whether a flow may be placed on a target as a probe now: the target
    /// is on probation, and an unresponsive availability zone is probed through
    /// one target at a time.
    fn may_probe(
        &self,
        now: Instant,
        key: TargetKey,
        entry: &TargetEntry,
        unresponsive: ZoneSet,
    ) -> bool {
        if self.trust(now, key) != Trust::Probation {
            return false;
        }
        let probed_at = self.zone_probed_at[usize::from(entry.zone.0)];
        let recently = probed_at.is_some_and(|at| now.since(at) < self.options.initial_backoff);
        !(unresponsive.contains(entry.zone) && recently)
    }

    fn candidate(
        &self,
        now: Instant,
        target: TargetKey,
        entry: &TargetEntry,
        penalties: &ZonePenalties,
    ) -> Candidate {
        let load = self.weighted_load(now, target, entry) + penalties.get(entry.zone);
        Candidate {
            target,
            score: load / entry.slots as f32,
        }
    }

    /// Returns the load of a target from this entry VM, in requests in flight.
    fn weighted_load(&self, now: Instant, key: TargetKey, entry: &TargetEntry) -> f32 {
        let o = &self.options;
        let load = self.target_load(key);
        let requests = load.in_flight as f32
            + o.flow_weight * load.open as f32
            + o.rate_weight * load.recent_requests(now)
            + o.delay_weight
                * entry.slots as f32
                * load.delay(now, self.usual_response_time(entry.service));
        let factor = if now < entry.warm_at {
            o.warmup_factor
        } else {
            1.0
        };
        requests * factor
    }

    /// Returns the penalty of each availability zone for a service.
    ///
    /// The preference for the local zone falls as the slowdown of the local zone
    /// exceeds that of the other zone.
    fn zone_penalties(
        &self,
        now: Instant,
        service: ServiceKey,
        unresponsive: ZoneSet,
    ) -> ZonePenalties {
        let o = &self.options;
        let preference = self.affinity(now, service, unresponsive).penalty(o);
        let slowdown = self.slowdown(now, service, self.zone);
        let mut penalties = ZonePenalties::default();
        for at in 0..self.directory.zone_count() {
            let zone = ZoneId(at as u16);
            if zone != self.zone {
                let excess = slowdown - self.slowdown(now, service, zone) - o.slowdown_tolerance;
                let remaining = (1.0 - excess / o.slowdown_range).clamp(0.0, 1.0);
                penalties.set(zone, o.zone_penalty + preference * remaining);
            }
        }
        penalties
    }

    fn affinity(&self, now: Instant, service: ServiceKey, unresponsive: ZoneSet) -> ZoneAffinity {
        let mut affinity = ZoneAffinity {
            zones: self.directory.zone_count() as u32,
            ..ZoneAffinity::default()
        };
        for (key, entry) in self.directory.eligible_targets(service) {
            if self.effective_trust(now, key, entry, unresponsive) != Trust::Trusted {
                continue;
            }
            affinity.slots += entry.slots;
            if entry.zone == self.zone {
                affinity.local_targets += 1;
                affinity.local_slots += entry.slots;
                affinity.local_load += self.weighted_load(now, key, entry);
            }
        }
        affinity
    }

    /// Returns the ratio of a service's response time in a zone to its baseline
    /// there.
    fn slowdown(&self, now: Instant, service: ServiceKey, zone: ZoneId) -> f32 {
        let times = self.response_times.get(&(service, zone));
        times.map_or(1.0, |times| times.slowdown(now))
    }
}
