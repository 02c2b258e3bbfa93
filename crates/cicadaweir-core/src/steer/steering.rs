//! Where each packet goes.

mod placing;
mod silence;

use hashbrown::HashMap;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    packet::{PacketKind, PacketRef},
    time::{Duration, Instant},
};

use super::{
    AnswerTimes, Applied, Change, Counters, Directory, DropReason, Expired, FlowPhase, FlowState,
    Flows, Observation, Options, PendingPacket, PendingPackets, Progress, ResetReason, Segment,
    Suspicion, Trust, Verdict, WaitReason, Work,
};

/// One entry VM's decisions about packets that name their target.
#[derive(Debug)]
pub struct Steering {
    options: Options,
    zone: ZoneId,
    directory: Directory,
    flows: Flows,
    pending: PendingPackets,
    work: Vec<Work>,
    suspicion: Vec<Suspicion>,
    zone_answers: Vec<Option<Instant>>,
    zone_trials: Vec<Option<Instant>>,
    /// By service and availability zone.
    answer_times: HashMap<(ServiceKey, ZoneId), AnswerTimes>,
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
            pending: PendingPackets::default(),
            work: Vec::new(),
            suspicion: Vec::new(),
            zone_answers: Vec::new(),
            zone_trials: Vec::new(),
            answer_times: HashMap::new(),
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
    pub fn recent_unanswered(&self, now: Instant, target: TargetKey) -> (u32, Duration) {
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
    pub fn mark_store_read(&mut self) {
        self.complete = true;
    }

    /// Notes that the view of the store was complete at some moment.
    pub fn record_store_view(&mut self, at: Instant) {
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
        self.counters.count(&verdict);
        verdict
    }

    /// Decides where a packet goes that has waited.
    pub fn decide_pending(&mut self, now: Instant, waiter: &PendingPacket) -> Verdict {
        let verdict = self.decide(now, &waiter.segment, false);
        self.counters.count(&verdict);
        verdict
    }

    /// Keeps a packet for which [`Verdict::Wait`] was returned.
    pub fn enqueue(&mut self, now: Instant, segment: &Segment, packet: PacketRef) {
        self.pending.push(PendingPacket {
            packet,
            segment: *segment,
            since: now,
        });
    }

    /// Returns a packet that has waited and can be decided now: `Ok` is to be
    /// handed to [`Steering::decide_pending`], `Err` has waited too long.
    pub fn next_pending(&mut self, now: Instant) -> Option<Result<PendingPacket, PendingPacket>> {
        if !self.complete {
            let expired = self.pending.pop_expired(now, self.options.view_patience)?;
            self.counters.count(&Verdict::Drop(DropReason::Waited));
            return Some(Err(expired));
        }
        if let Some(waiter) = self.pending.pop_expired(now, self.options.room_patience) {
            return Some(Ok(waiter));
        }
        let has_room = self.pending.newest().is_some_and(|waiter| {
            let route = self.directory.route(&waiter.segment.flow.address, 0);
            waiter.segment.kind != PacketKind::Opening
                || route.is_none_or(|(service, _)| self.has_room(now, service))
        });
        has_room.then(|| self.pending.pop_newest().map(Ok))?
    }

    /// Returns whether packets wait.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn fresh(&mut self, now: Instant, segment: &Segment) -> Verdict {
        if self.has_pending() && self.pending.has_copy_of(segment) {
            return Verdict::Drop(DropReason::Copy);
        }
        let verdict = self.decide(now, segment, true);
        if matches!(verdict, Verdict::Wait(_)) && self.pending.len() >= self.options.max_pending {
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
                route.is_some_and(|(service, _)| {
                    self.directory.eligible_targets(service).next().is_some()
                })
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
            .insert(segment.flow, state, self.options.max_flows)
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
                    self.observations.push(Observation::Retransmitted {
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
            .insert(segment.flow, flow, self.options.max_flows)
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
        if let Some(at) = progress.answered {
            self.answered(at, flow.target);
        }
        if let Some(took) = progress.opening_took {
            self.observations
                .push(Observation::OpeningAnswered { took });
        }
        if let Some(took) = progress.request_took {
            self.counters.answered += 1;
            if let Some(entry) = self.directory.target(flow.target) {
                let key = (entry.service, entry.zone);
                self.answer_times
                    .entry(key)
                    .or_default()
                    .answered(now, took);
            }
            self.observations
                .push(Observation::RequestAnswered { took });
        }
        let work = &mut self.work[at];
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
