//! Which target an opening goes to.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    steer::{Candidate, Distances, OpeningInputs, Preference, TargetEntry, Trust, ZoneSet, choose},
    time::Instant,
};

use super::Steering;

impl Steering {
    /// Returns whether a target that answers has little enough to do. Where no
    /// target is trusted there is nothing to wait for.
    pub(super) fn has_room(&self, now: Instant, service: ServiceKey) -> bool {
        let eligible_targets = self.directory.eligible_targets(service);
        let mut trusted = eligible_targets
            .filter(|&(key, _)| self.trust(now, key) == Trust::Trusted)
            .peekable();
        trusted.peek().is_none()
            || trusted.any(|(key, entry)| {
                self.in_flight_per_slot(key, entry) < self.options.room_per_slot
            })
    }

    /// Returns how full a target is: 0 as long as it keeps up, 1 while it
    /// should get flows only if all others do, 2 if it has enough.
    fn crowding(&self, key: TargetKey, entry: &TargetEntry) -> u8 {
        let in_flight = self.in_flight_per_slot(key, entry);
        let bounds = [self.options.busy_per_slot, self.options.room_per_slot];
        bounds.iter().filter(|&&most| in_flight >= most).count() as u8
    }

    fn in_flight_per_slot(&self, key: TargetKey, entry: &TargetEntry) -> f32 {
        self.work(key).in_flight as f32 / entry.slots as f32
    }

    /// Picks a target for an opening, other than `avoid` if possible.
    pub(super) fn place(
        &mut self,
        now: Instant,
        service: ServiceKey,
        avoid: Option<TargetKey>,
    ) -> Option<(TargetKey, OpeningInputs)> {
        let silent = self.silent_zones(0);
        let mut draw = Pcg64Mcg::seed_from_u64(self.rng.next_u64());
        let chosen = self.pick(now, service, avoid, silent, &mut draw)?;
        let inputs = self.inputs(now, service, chosen, silent);
        self.begin_trial(now, chosen.target, silent);
        Some((chosen.target, inputs))
    }

    fn pick(
        &self,
        now: Instant,
        service: ServiceKey,
        avoid: Option<TargetKey>,
        silent: ZoneSet,
        draw: &mut impl RngCore,
    ) -> Option<Candidate> {
        let distances = self.distances(now, service, silent);
        let rank = |key, entry: &TargetEntry| {
            let tries = avoid.is_none() && self.may_try(now, key, entry, silent);
            let trust = self.trust_in(now, key, entry, silent);
            let trust = if tries { Trust::Trusted } else { trust };
            (Some(key) == avoid, trust, self.crowding(key, entry))
        };
        let eligible_targets = || self.directory.eligible_targets(service);
        let best = eligible_targets()
            .map(|(key, entry)| rank(key, entry))
            .min()?;
        let candidates = eligible_targets()
            .filter(|&(key, entry)| rank(key, entry) == best)
            .map(|(key, entry)| self.candidate(now, key, entry, &distances));
        choose(candidates, draw)
    }

    fn inputs(
        &self,
        now: Instant,
        service: ServiceKey,
        chosen: Candidate,
        silent: ZoneSet,
    ) -> OpeningInputs {
        let eligible_targets = self.directory.eligible_targets(service);
        let trust = eligible_targets.map(|(key, entry)| self.trust_in(now, key, entry, silent));
        let mut inputs = OpeningInputs {
            score: chosen.score,
            in_flight: self.work(chosen.target).in_flight as f32,
            slowdown: self.slowdown(now, service, self.zone),
            ..OpeningInputs::default()
        };
        for trust in trust {
            inputs.candidates += 1;
            inputs.trusted += u32::from(trust == Trust::Trusted);
        }
        inputs
    }

    /// Notes that a target gets a flow, if it was suspected: no other is placed
    /// there until the flow has shown whether it answers.
    fn begin_trial(&mut self, now: Instant, target: TargetKey, silent: ZoneSet) {
        if self.trust(now, target) != Trust::Probation {
            return;
        }
        self.suspicion[target.0 as usize].begin_trial(now, self.options.suspicion_hold);
        if let Some(entry) = self.directory.target(target)
            && silent.contains(entry.zone)
        {
            self.zone_trials[usize::from(entry.zone.0)] = Some(now);
        }
    }

    /// Returns whether a target on trial may get a flow now: a silent
    /// availability zone is tried through one target at a time.
    fn may_try(&self, now: Instant, key: TargetKey, entry: &TargetEntry, silent: ZoneSet) -> bool {
        if self.trust(now, key) != Trust::Probation {
            return false;
        }
        let tried = self.zone_trials[usize::from(entry.zone.0)];
        let recently = tried.is_some_and(|at| now.since(at) < self.options.suspicion_hold);
        !(silent.contains(entry.zone) && recently)
    }

    fn candidate(
        &self,
        now: Instant,
        target: TargetKey,
        entry: &TargetEntry,
        distances: &Distances,
    ) -> Candidate {
        let load = self.load(now, target, entry) + distances.to(entry.zone);
        Candidate {
            target,
            score: load / entry.slots as f32,
        }
    }

    /// Returns what a target has to do for this entry VM, in requests in flight.
    fn load(&self, now: Instant, key: TargetKey, entry: &TargetEntry) -> f32 {
        let o = &self.options;
        let work = self.work(key);
        let load = work.in_flight as f32
            + o.flow_weight * work.open as f32
            + o.rate_weight * work.recent(now);
        let slowness = if now < entry.warm_at {
            o.warmup_factor
        } else {
            1.0
        };
        load * slowness
    }

    /// Returns what the way to each availability zone weighs for a service: the
    /// preference for the own zone falls as that answers more slowly than
    /// usual, and than the other one.
    fn distances(&self, now: Instant, service: ServiceKey, silent: ZoneSet) -> Distances {
        let o = &self.options;
        let preference = self.preference(now, service, silent).weight(o);
        let slowdown = self.slowdown(now, service, self.zone);
        let mut distances = Distances::default();
        for at in 0..self.directory.zone_count() {
            let zone = ZoneId(at as u16);
            if zone != self.zone {
                let excess = slowdown - self.slowdown(now, service, zone) - o.slowdown_tolerance;
                let left = (1.0 - excess / o.slowdown_range).clamp(0.0, 1.0);
                distances.set(zone, o.zone_weight + preference * left);
            }
        }
        distances
    }

    fn preference(&self, now: Instant, service: ServiceKey, silent: ZoneSet) -> Preference {
        let mut preference = Preference {
            zones: self.directory.zone_count() as u32,
            ..Preference::default()
        };
        for (key, entry) in self.directory.eligible_targets(service) {
            if self.trust_in(now, key, entry, silent) != Trust::Trusted {
                continue;
            }
            preference.slots += entry.slots;
            if entry.zone == self.zone {
                preference.own_targets += 1;
                preference.own_slots += entry.slots;
                preference.own_load += self.load(now, key, entry);
            }
        }
        preference
    }

    fn slowdown(&self, now: Instant, service: ServiceKey, zone: ZoneId) -> f32 {
        let times = self.answer_times.get(&(service, zone));
        times.map_or(1.0, |times| times.slowdown(now))
    }
}
