//! Where each packet goes.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    packet::{PacketKind, PacketRef},
    time::{Duration, Instant},
};

use super::{
    Applied, Candidate, Change, Directory, DropReason, Expired, FlowPhase, FlowState, Flows,
    Observation, OpeningInputs, Options, Presence, Progress, ResetReason, Segment, Suspicion,
    TargetEntry, Trust, Verdict, WaitReason, Waiter, Waiting, Work, WorkKind, ZoneSet, choose,
};

/// What has been decided so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Openings that were placed.
    pub placed: u64,
    /// Repeated openings that were placed.
    pub repeated_openings: u64,
    /// Packets that followed their flow.
    pub forwarded: u64,
    /// Flows that another entry VM had placed.
    pub adopted: u64,
    /// Requests whose answer has begun.
    pub answered: u64,
    /// Requests that callers repeated.
    pub repeated_requests: u64,
    /// Targets that became suspected.
    pub suspected: u64,
    /// Suspected targets that answered again.
    pub cleared: u64,
    /// Resets by reason, in the order of [`ResetReason`].
    pub resets: [u64; ResetReason::ALL.len()],
    /// Dropped packets by reason, in the order of [`DropReason`].
    pub drops: [u64; DropReason::ALL.len()],
    /// Packets that had to wait.
    pub waits: u64,
}

impl Counters {
    /// Returns all counts by decision and detail, always in the same order.
    pub fn entries(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        let single = [
            ("placed", "new", self.placed),
            ("placed", "repeated", self.repeated_openings),
            ("forwarded", "known", self.forwarded),
            ("forwarded", "adopted", self.adopted),
            ("waited", "any", self.waits),
            ("request", "answered", self.answered),
            ("request", "repeated", self.repeated_requests),
            ("belief", "suspected", self.suspected),
            ("belief", "cleared", self.cleared),
        ];
        let resets = ResetReason::ALL.iter().zip(self.resets);
        let resets = resets.map(|(reason, count)| ("reset", reason.name(), count));
        let drops = DropReason::ALL.iter().zip(self.drops);
        let drops = drops.map(|(reason, count)| ("drop", reason.name(), count));
        single.into_iter().chain(resets).chain(drops)
    }
}

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

/// One entry VM's decisions about packets that name their target.
#[derive(Debug)]
pub struct Steering {
    options: Options,
    zone: ZoneId,
    directory: Directory,
    flows: Flows,
    waiting: Waiting,
    work: Vec<Work>,
    suspicion: Vec<Suspicion>,
    zone_answers: Vec<Option<Instant>>,
    zone_trials: Vec<Option<Instant>>,
    complete: bool,
    viewed_at: Option<Instant>,
    observations: Vec<Observation>,
    counters: Counters,
    rng: Pcg64Mcg,
}

impl Steering {
    /// Makes the decisions of an entry VM in the named availability zone.
    pub fn new(options: Options, zone: &str, seed: u64) -> Self {
        let mut directory = Directory::default();
        let zone = directory.zone(zone);
        Self {
            options,
            zone,
            directory,
            flows: Flows::default(),
            waiting: Waiting::default(),
            work: Vec::new(),
            suspicion: Vec::new(),
            zone_answers: Vec::new(),
            zone_trials: Vec::new(),
            complete: false,
            viewed_at: None,
            observations: Vec::new(),
            counters: Counters::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the routes and targets.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns what has been decided so far.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the work of a target.
    pub fn work(&self, target: TargetKey) -> Work {
        self.work
            .get(target.0 as usize)
            .copied()
            .unwrap_or_default()
    }

    /// Returns how far a target is trusted.
    pub fn trust(&self, now: Instant, target: TargetKey) -> Trust {
        let at = target.0 as usize;
        self.suspicion
            .get(at)
            .map_or(Trust::Trusted, |s| s.trust(now))
    }

    /// Returns what speaks against a target now: repetitions that count as
    /// proof, and how long it has been silent.
    pub fn proof(&self, now: Instant, target: TargetKey) -> (u32, Duration) {
        let Some(suspicion) = self.suspicion.get(target.0 as usize) else {
            return (0, Duration::ZERO);
        };
        let silent = suspicion.silent_since().map(|at| now.since(at));
        let proof = suspicion.proof(now, &self.options);
        (proof, silent.unwrap_or(Duration::ZERO))
    }

    /// Returns how many flows are remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether routes and all targets are known, so that the platform
    /// is to send packets.
    pub const fn is_ready(&self) -> bool {
        self.complete && self.directory.version().is_some()
    }

    /// Notes that all of the store has been read, from some state of it.
    pub fn completed(&mut self) {
        self.complete = true;
    }

    /// Notes that the view of the store was complete at some moment.
    pub fn viewed(&mut self, at: Instant) {
        self.complete = true;
        self.viewed_at = Some(self.viewed_at.map_or(at, |known| known.max(at)));
    }

    /// Returns how old the view of the store is.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.viewed_at.map(|at| now.since(at))
    }

    /// Takes what was learned since the last call.
    pub fn take_observations(&mut self, into: &mut Vec<Observation>) {
        into.append(&mut self.observations);
    }

    /// Takes in news of the store.
    pub fn apply(&mut self, now: Instant, change: Change) -> Applied {
        let applied = self.directory.apply(now, change);
        let capacity = self.directory.capacity();
        self.work.resize(capacity, Work::default());
        self.suspicion.resize(capacity, Suspicion::default());
        self.zone_answers.resize(self.directory.zone_count(), None);
        self.zone_trials.resize(self.directory.zone_count(), None);
        if let Applied::NewTarget(key) = applied {
            self.suspicion[key.0 as usize] = Suspicion::default();
        }
        applied
    }

    /// Decides where a packet goes.
    pub fn packet(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let verdict = self.fresh(now, segment);
        self.count(&verdict);
        verdict
    }

    /// Decides where a packet goes that has waited.
    pub fn waited(&mut self, now: Instant, waiter: &Waiter) -> Verdict {
        let verdict = self.decide(now, &waiter.segment, false);
        self.count(&verdict);
        verdict
    }

    /// Keeps a packet for which [`Verdict::Wait`] was returned.
    pub fn wait(&mut self, now: Instant, segment: &Segment, packet: PacketRef) {
        self.waiting.push(Waiter {
            packet,
            segment: *segment,
            since: now,
        });
    }

    /// Returns a packet that has waited and can be decided now: `Ok` is to be
    /// handed to [`Steering::waited`], `Err` has waited too long.
    pub fn next_waiter(&mut self, now: Instant) -> Option<Result<Waiter, Waiter>> {
        if !self.complete {
            let expired = self.waiting.pop_expired(now, self.options.view_patience)?;
            self.count(&Verdict::Drop(DropReason::Waited));
            return Some(Err(expired));
        }
        if let Some(waiter) = self.waiting.pop_expired(now, self.options.room_patience) {
            return Some(Ok(waiter));
        }
        let has_room = self.waiting.newest().is_some_and(|waiter| {
            let route = self.directory.route(&waiter.segment.flow.address, 0);
            waiter.segment.kind != PacketKind::Opening
                || route.is_none_or(|(service, _)| self.has_room(now, service))
        });
        has_room.then(|| self.waiting.pop_newest().map(Ok))?
    }

    /// Returns whether packets wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn fresh(&mut self, now: Instant, segment: &Segment) -> Verdict {
        if self.has_waiting() && self.waiting.has_copy_of(segment) {
            return Verdict::Drop(DropReason::Copy);
        }
        let verdict = self.decide(now, segment, true);
        if matches!(verdict, Verdict::Wait(_)) && self.waiting.len() >= self.options.most_waiting {
            return Verdict::Drop(DropReason::Waited);
        }
        verdict
    }

    fn decide(&mut self, now: Instant, segment: &Segment, may_wait: bool) -> Verdict {
        if !self.complete && may_wait {
            return self.decide_early(now, segment);
        }
        match segment.kind {
            PacketKind::Opening => self.opening(now, segment, may_wait),
            PacketKind::OpeningAnswer | PacketKind::Datagram => {
                Verdict::Drop(DropReason::Unexpected)
            }
            _ => self.later(now, segment),
        }
    }

    /// Forgets what is over; to be called a few times a second.
    pub fn tick(&mut self, now: Instant) {
        let options = self.options;
        let idle = options.flow_ttl.max(self.directory.idle_timeout());
        let work = &mut self.work;
        self.flows.expire(now, idle, &options, |flow, expired| {
            let work = &mut work[flow.target.0 as usize];
            match expired {
                Expired::Request => work.request_ended(),
                Expired::Flow => forget(work, flow),
            }
        });
        let (work, suspicion) = (&mut self.work, &mut self.suspicion);
        self.directory
            .forget_departed(now, options.departed_memory, |key| {
                work[key.0 as usize] = Work::default();
                suspicion[key.0 as usize] = Suspicion::default();
            });
    }

    /// Decides before all of the store has been read: where a target is known,
    /// the packet goes there, everything else waits.
    ///
    /// Load pattern: hundreds of entry VMs start at once and share the store's
    /// link, so that reading thousands of targets takes seconds.
    fn decide_early(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let known = match segment.kind {
            PacketKind::Opening => {
                let route = self.directory.route(&segment.flow.address, 0);
                route.is_some_and(|(service, _)| self.directory.takers(service).next().is_some())
            }
            _ => self.directory.by_cookie(segment.cookie).is_some(),
        };
        if !known {
            return Verdict::Wait(WaitReason::View);
        }
        match self.decide(now, segment, false) {
            Verdict::Reset(_) | Verdict::Drop(_) => Verdict::Wait(WaitReason::View),
            verdict => verdict,
        }
    }

    fn opening(&mut self, now: Instant, segment: &Segment, may_wait: bool) -> Verdict {
        let known = self.flows.get_mut(&segment.flow).copied();
        if let Some(flow) = known.filter(|flow| flow.phase == FlowPhase::Open) {
            return Verdict::Forward {
                target: flow.target,
                adopted: false,
            };
        }
        let Some((service, kind)) = self
            .directory
            .route(&segment.flow.address, self.rng.next_u64())
        else {
            return self.without_route(now);
        };
        if may_wait && known.is_none() && !self.has_room(now, service) {
            return Verdict::Wait(WaitReason::Room);
        }
        let earlier = known.filter(|flow| flow.phase == FlowPhase::Opening);
        if let Some(flow) = known {
            self.flows.remove(&segment.flow);
            forget(&mut self.work[flow.target.0 as usize], &flow);
        }
        if let Some(flow) = earlier {
            self.strike(now, flow.target, flow.since);
        }
        let avoid = earlier.map(|flow| flow.target);
        let Some((target, inputs)) = self.place(now, service, avoid) else {
            return Verdict::Reset(ResetReason::NoTarget);
        };
        let mut state = FlowState::opening(target, kind, now);
        state.first_opening = earlier.map_or(now, |flow| flow.first_opening);
        if self
            .flows
            .insert(segment.flow, state, self.options.most_flows)
        {
            let work = &mut self.work[target.0 as usize];
            work.flow_opened();
            work.request_started(now);
        }
        if segment.copy > 0 {
            self.counters.repeated_openings += 1;
        }
        Verdict::Place { target, inputs }
    }

    /// Returns whether a target that answers has little enough to do. Where no
    /// target is trusted there is nothing to wait for.
    fn has_room(&self, now: Instant, service: ServiceKey) -> bool {
        let mut trusted = false;
        for (key, entry) in self.directory.takers(service) {
            if self.trust(now, key) == Trust::Trusted {
                trusted = true;
                let most = self.options.room_per_slot * entry.slots as f32;
                if (self.work(key).in_flight as f32) < most {
                    return true;
                }
            }
        }
        !trusted
    }

    fn without_route(&self, now: Instant) -> Verdict {
        if self.has_fresh_view(now) {
            Verdict::Reset(ResetReason::NoRoute)
        } else {
            Verdict::Drop(DropReason::RouteUnknown)
        }
    }

    fn has_fresh_view(&self, now: Instant) -> bool {
        let age = self.view_age(now);
        self.is_ready() && age.is_some_and(|age| age <= self.options.fresh_view)
    }

    fn place(
        &mut self,
        now: Instant,
        service: ServiceKey,
        avoid: Option<TargetKey>,
    ) -> Option<(TargetKey, OpeningInputs)> {
        let mut inputs = OpeningInputs::default();
        let mut best_trust = Trust::Suspected;
        let silent = self.silent_zones(0);
        for (key, entry) in self.directory.takers(service) {
            inputs.candidates += 1;
            let trust = self.trust_in(now, key, entry, silent);
            inputs.trusted += u32::from(trust == Trust::Trusted);
            if Some(key) != avoid {
                best_trust = best_trust.min(trust);
            }
        }
        let mut draw = Pcg64Mcg::seed_from_u64(self.rng.next_u64());
        let chosen = self.trial(now, service, avoid, silent).or_else(|| {
            let takers = self.directory.takers(service).filter(|&(key, entry)| {
                Some(key) != avoid && self.trust_in(now, key, entry, silent) <= best_trust
            });
            let candidates = takers.map(|(key, entry)| self.candidate(now, key, entry));
            choose(candidates, &mut draw)
        });
        let chosen = chosen.or_else(|| {
            let key = avoid?;
            let entry = self.directory.target(key)?;
            let takes = entry.takes_openings();
            takes.then(|| self.candidate(now, key, entry))
        })?;
        inputs.score = chosen.score;
        inputs.in_flight = self.work(chosen.target).in_flight as f32;
        Some((chosen.target, inputs))
    }

    /// Picks a target that was suspected and may be tried with one flow.
    fn trial(
        &mut self,
        now: Instant,
        service: ServiceKey,
        avoid: Option<TargetKey>,
        silent: ZoneSet,
    ) -> Option<Candidate> {
        if avoid.is_some() {
            return None;
        }
        let mut takers = self.directory.takers(service);
        let (key, entry) = takers.find(|&(key, entry)| {
            self.trust(now, key) == Trust::OnTrial && self.may_try(now, entry, silent)
        })?;
        let (zone, candidate) = (entry.zone, self.candidate(now, key, entry));
        if silent.contains(zone) {
            self.zone_trials[usize::from(zone.0)] = Some(now);
        }
        self.suspicion[key.0 as usize].begin_trial(now, self.options.suspicion_hold);
        Some(candidate)
    }

    /// Returns whether a target on trial may get a flow now: a silent
    /// availability zone is tried through one target at a time.
    fn may_try(&self, now: Instant, entry: &TargetEntry, silent: ZoneSet) -> bool {
        let tried = self.zone_trials[usize::from(entry.zone.0)];
        let recently = tried.is_some_and(|at| now.since(at) < self.options.suspicion_hold);
        !(silent.contains(entry.zone) && recently)
    }

    fn candidate(&self, now: Instant, target: TargetKey, entry: &TargetEntry) -> Candidate {
        Candidate {
            target,
            score: self.score(now, target, entry),
        }
    }

    fn score(&self, now: Instant, key: TargetKey, entry: &TargetEntry) -> f32 {
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
        let away = if entry.zone == self.zone {
            0.0
        } else {
            o.zone_weight
        };
        (load * slowness + away) / entry.slots as f32
    }

    fn later(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            return self.adopt(now, segment);
        };
        if flow.phase == FlowPhase::Opening && segment.cookie.is_some() {
            let Some(named) = self.directory.by_cookie(segment.cookie) else {
                return Verdict::Drop(DropReason::TargetUnknown);
            };
            if named != flow.target {
                move_flow(&mut self.work, flow, named, now);
            }
        }
        let progress = flow.observe(segment, now);
        let flow = *flow;
        self.note(now, &flow, progress);
        match self.give_up(now, &flow, &progress) {
            Some(reason) => {
                self.flows.remove(&segment.flow);
                forget(&mut self.work[flow.target.0 as usize], &flow);
                Verdict::Reset(reason)
            }
            None => {
                if let Some(since) = progress.repeated {
                    self.observations.push(Observation::Repeated {
                        flow: segment.flow,
                        target: flow.target,
                        waited: now.since(since),
                    });
                }
                Verdict::Forward {
                    target: flow.target,
                    adopted: false,
                }
            }
        }
    }

    fn adopt(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let Some(target) = self.directory.by_cookie(segment.cookie) else {
            return Verdict::Drop(DropReason::TargetUnknown);
        };
        let Some(entry) = self.directory.target(target) else {
            return Verdict::Drop(DropReason::TargetUnknown);
        };
        let kind = match self.directory.allows(&segment.flow.address, entry.service) {
            Some((true, kind)) => kind,
            Some((false, _)) => return Verdict::Drop(DropReason::OtherService),
            None => return self.without_route(now),
        };
        let mut flow = FlowState::adopted(target, kind, segment, now);
        let progress = flow.observe(segment, now);
        if self
            .flows
            .insert(segment.flow, flow, self.options.most_flows)
        {
            self.work[target.0 as usize].flow_opened();
            self.note(now, &flow, progress);
        }
        Verdict::Forward {
            target,
            adopted: true,
        }
    }

    fn note(&mut self, now: Instant, flow: &FlowState, progress: Progress) {
        let at = flow.target.0 as usize;
        if progress.answered {
            self.answered(now, flow.target);
        }
        let work = &mut self.work[at];
        if let Some(took) = progress.opening_took {
            self.observations
                .push(Observation::OpeningAnswered { took });
        }
        if let Some(took) = progress.request_took {
            self.counters.answered += 1;
            self.observations
                .push(Observation::RequestAnswered { took });
        }
        if progress.request_ended {
            work.request_ended();
        }
        if progress.request_started {
            work.request_started(now);
        }
        if progress.closed {
            work.flow_closed();
        }
        if let Some(since) = progress.repeated {
            self.counters.repeated_requests += 1;
            self.strike(now, flow.target, since);
        }
    }

    fn answered(&mut self, now: Instant, target: TargetKey) {
        if let Some(entry) = self.directory.target(target) {
            let zone = usize::from(entry.zone.0);
            self.zone_answers[zone] = Some(now);
        }
        if self.suspicion[target.0 as usize].answered(now) {
            self.counters.cleared += 1;
            self.observations.push(Observation::Cleared { target });
        }
    }

    fn strike(&mut self, now: Instant, target: TargetKey, sent: Instant) {
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
    fn trust_in(
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
    fn silent_zones(&self, strikes: u32) -> ZoneSet {
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
    fn give_up(&self, now: Instant, flow: &FlowState, progress: &Progress) -> Option<ResetReason> {
        let waits = flow.request_since.is_some() && !progress.answered && !progress.closed;
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
        let may_repeat = flow.kind != WorkKind::AtMostOnce;
        let silent = may_repeat && self.is_certainly_silent(now, flow.target);
        silent.then_some(ResetReason::TargetSilent)
    }

    fn count(&mut self, verdict: &Verdict) {
        let c = &mut self.counters;
        match verdict {
            Verdict::Place { .. } => c.placed += 1,
            Verdict::Forward { adopted, .. } => {
                c.forwarded += 1;
                c.adopted += u64::from(*adopted);
            }
            Verdict::Reset(reason) => c.resets[*reason as usize] += 1,
            Verdict::Drop(reason) => c.drops[*reason as usize] += 1,
            Verdict::Wait(_) => c.waits += 1,
        }
    }
}

fn forget(work: &mut Work, flow: &FlowState) {
    if flow.phase != FlowPhase::Closed {
        work.flow_closed();
    }
    if flow.request_since.is_some() {
        work.request_ended();
    }
}

/// Follows the caller's choice among several targets that answered copies of
/// its opening.
fn move_flow(work: &mut [Work], flow: &mut FlowState, to: TargetKey, now: Instant) {
    forget(&mut work[flow.target.0 as usize], flow);
    flow.target = to;
    let work = &mut work[to.0 as usize];
    work.flow_opened();
    if flow.request_since.is_some() {
        work.request_started(now);
    }
}
