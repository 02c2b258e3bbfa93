//! Decisions on packets.

mod admitting;
mod placing;
mod unresponsive;

use hashbrown::HashMap;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    packet::{PacketKind, PacketRef},
    time::{Duration, Instant},
};

use super::{
    Applied, Change, ConcurrencyLimit, Counters, Directory, DropReason, Expired, Fate, FlowPhase,
    FlowState, Flows, Observation, Options, PendingPacket, PendingPackets, Progress, RequestKind,
    ResetReason, ResponseTimes, RouteStatus, Segment, Suspicion, TargetLoad, Trust, Verdict,
    WaitReason,
};

/// The state of one entry VM whose packets name their target, and the decisions
/// that it makes on packets.
#[derive(Debug)]
pub struct Steering {
    options: Options,
    zone: ZoneId,
    directory: Directory,
    flows: Flows,
    pending: PendingPackets,
    /// By target.
    loads: Vec<TargetLoad>,
    /// By target.
    suspicion: Vec<Suspicion>,
    /// By availability zone: when the latest packet was sent that one of the
    /// zone's targets has answered.
    zone_last_answered_sent: Vec<Option<Instant>>,
    /// By availability zone: the last probe while the zone was unresponsive.
    zone_probed_at: Vec<Option<Instant>>,
    /// By service and availability zone.
    response_times: HashMap<(ServiceKey, ZoneId), ResponseTimes>,
    /// By service.
    limits: Vec<ConcurrencyLimit>,
    /// By service: whether it was refusing openings at the last tick.
    refusing: Vec<bool>,
    /// The last packet or tick.
    active_at: Option<Instant>,
    /// When this process was last found to have been paused.
    resumed_at: Option<Instant>,
    store_read: bool,
    store_viewed_at: Option<Instant>,
    observations: Vec<Observation>,
    counters: Counters,
    rng: Pcg64Mcg,
}

impl Steering {
    /// Creates the state of an entry VM in the named availability zone; `seed`
    /// is the seed of its random choices.
    pub fn new(options: Options, zone: &str, seed: u64) -> Self {
        let mut directory = Directory::default();
        let zone = directory.zone(zone);
        Self {
            options,
            zone,
            directory,
            flows: Flows::default(),
            pending: PendingPackets::default(),
            loads: Vec::new(),
            suspicion: Vec::new(),
            zone_last_answered_sent: Vec::new(),
            zone_probed_at: Vec::new(),
            response_times: HashMap::new(),
            limits: Vec::new(),
            refusing: Vec::new(),
            active_at: None,
            resumed_at: None,
            store_read: false,
            store_viewed_at: None,
            observations: Vec::new(),
            counters: Counters::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the known routes and targets.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the counters of decisions.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the load of a target from this entry VM.
    pub fn target_load(&self, target: TargetKey) -> TargetLoad {
        self.loads
            .get(target.0 as usize)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether a target may get new flows, regardless of its availability
    /// zone.
    pub fn trust(&self, now: Instant, target: TargetKey) -> Trust {
        let at = target.0 as usize;
        self.suspicion
            .get(at)
            .map_or(Trust::Trusted, |s| s.trust(now))
    }

    /// Returns the number of recent unanswered retransmissions to a target, and
    /// the time since the first unanswered packet was sent; both are zero for a
    /// target that isn't suspected.
    pub fn recent_unanswered(&self, now: Instant, target: TargetKey) -> (u32, Duration) {
        let Some(suspicion) = self.suspicion.get(target.0 as usize) else {
            return (0, Duration::ZERO);
        };
        let unanswered_for = suspicion.first_unanswered_sent().map(|at| now.since(at));
        let retransmissions = suspicion.recent_unanswered(now, &self.options);
        (retransmissions, unanswered_for.unwrap_or(Duration::ZERO))
    }

    /// Returns the number of flows that are remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the routes and all targets are known, so that this entry
    /// VM can take packets.
    pub const fn is_ready(&self) -> bool {
        self.store_read && self.directory.version().is_some()
    }

    /// Records that the whole store has been read, perhaps in an older state.
    pub fn mark_store_read(&mut self) {
        self.store_read = true;
    }

    /// Records that the view of the store was complete and current at a time.
    pub fn record_store_view(&mut self, at: Instant) {
        self.store_read = true;
        self.store_viewed_at = Some(self.store_viewed_at.map_or(at, |known| known.max(at)));
    }

    /// Returns the age of the view of the store; none before the first
    /// current one.
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.store_viewed_at.map(|at| now.since(at))
    }

    /// Moves the observations since the last call to the end of `into`.
    pub fn take_observations(&mut self, into: &mut Vec<Observation>) {
        into.append(&mut self.observations);
    }

    /// Applies a change of the store.
    pub fn apply(&mut self, now: Instant, change: Change) -> Applied {
        let applied = self.directory.apply(now, change);
        let capacity = self.directory.capacity();
        self.loads.resize(capacity, TargetLoad::default());
        self.suspicion.resize(capacity, Suspicion::default());
        self.zone_last_answered_sent
            .resize(self.directory.zone_count(), None);
        self.zone_probed_at
            .resize(self.directory.zone_count(), None);
        if let Applied::NewTarget(key) = applied {
            self.forget_target(key);
        }
        if let Applied::NewTarget(key) | Applied::UpdatedTarget(key) | Applied::Departed(key) =
            applied
            && let Some(service) = self.directory.target(key).map(|entry| entry.service)
        {
            self.update_slots(service);
        }
        applied
    }

    /// Forgets what was known of the target that had a key before: its flows may
    /// not follow the key to another target or another start of it, and are
    /// adopted again by their cookies.
    fn forget_target(&mut self, key: TargetKey) {
        self.flows.remove_target(key);
        self.loads[key.0 as usize] = TargetLoad::default();
        self.suspicion[key.0 as usize] = Suspicion::default();
    }

    /// Decides on a packet that has just arrived.
    pub fn packet(&mut self, now: Instant, segment: &Segment) -> Verdict {
        self.record_activity(now);
        let verdict = self.decide_new(now, segment);
        self.counters.count(&verdict);
        verdict
    }

    /// Decides on a packet that was pending.
    pub fn decide_pending(&mut self, now: Instant, pending: &PendingPacket) -> Verdict {
        let (copy, read_at) = pending.latest_copy;
        let is_opening = pending.segment.kind == PacketKind::Opening;
        let verdict = match pending.fate {
            Fate::Decide if is_opening && self.is_overtaken(now, copy, read_at) => {
                Verdict::Drop(DropReason::Overtaken)
            }
            Fate::Decide => self.decide(now, &pending.segment, false),
            Fate::Refuse => self.refuse_pending(now, pending),
        };
        self.counters.count(&verdict);
        verdict
    }

    /// Queues a packet for which [`Verdict::Wait`] was returned.
    pub fn enqueue(&mut self, now: Instant, segment: &Segment, packet: PacketRef) {
        self.pending.push(PendingPacket {
            packet,
            segment: *segment,
            since: now,
            latest_copy: (segment.copy, now),
            class: None,
            fate: Fate::Decide,
        });
        if self.store_read {
            self.classify_pending(now);
            self.trim_pending(now, segment);
        }
    }

    fn classify_pending(&mut self, now: Instant) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.classify(|packet| self.opening_class(now, packet));
        self.pending = pending;
    }

    /// Removes a pending packet that can be decided now, if there is one.
    ///
    /// `Ok` is to be passed to [`Steering::decide_pending`]; `Err` has timed out
    /// and is to be dropped.
    pub fn next_pending(&mut self, now: Instant) -> Option<Result<PendingPacket, PendingPacket>> {
        if !self.store_read {
            let expired = self
                .pending
                .pop_expired(now, self.options.store_read_timeout)?;
            self.counters.count(&Verdict::Drop(DropReason::Waited));
            return Some(Err(expired));
        }
        self.classify_pending(now);
        let mut pending = std::mem::take(&mut self.pending);
        let next = pending
            .pop_decidable()
            .or_else(|| pending.pop_next(|service| self.has_capacity(now, service)));
        self.pending = pending;
        next.map(Ok).or_else(|| self.next_overdue(now))
    }

    /// Returns whether packets are pending.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn decide_new(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let is_opening = segment.kind == PacketKind::Opening;
        if is_opening && self.is_overtaken(now, segment.copy, now) {
            return Verdict::Drop(DropReason::Overtaken);
        }
        if self.has_pending() && self.pending.absorbs(now, segment) {
            return Verdict::Drop(DropReason::Copy);
        }
        let verdict = self.decide(now, segment, true);
        if matches!(verdict, Verdict::Wait(_)) && self.pending.len() >= self.options.max_pending {
            return Verdict::Drop(DropReason::Waited);
        }
        verdict
    }

    fn decide(&mut self, now: Instant, segment: &Segment, may_wait: bool) -> Verdict {
        if !self.store_read && may_wait {
            return self.decide_early(now, segment);
        }
        match segment.kind {
            PacketKind::Opening => self.decide_opening(now, segment, may_wait),
            PacketKind::OpeningAnswer | PacketKind::Datagram => {
                Verdict::Drop(DropReason::Unexpected)
            }
            _ => self.decide_later_packet(now, segment),
        }
    }

    /// Evicts expired flows, requests and targets; to be called a few times a
    /// second.
    pub fn tick(&mut self, now: Instant) {
        self.record_activity(now);
        let options = self.options;
        let idle_ttl = options.flow_ttl.max(self.directory.idle_timeout());
        let loads = &mut self.loads;
        self.flows.expire(now, idle_ttl, &options, |flow, expired| {
            let load = &mut loads[flow.target.0 as usize];
            match expired {
                Expired::Request | Expired::Opening => load.request_ended(flow.is_first),
                Expired::First => load.first_expired(),
                Expired::Flow => release_load(load, flow),
            }
        });
        let mut evicted = Vec::new();
        self.directory
            .evict_departed(now, options.departed_ttl, |key| evicted.push(key));
        for key in evicted {
            self.forget_target(key);
        }
        self.directory.evict_dropped_routes(now, options.flow_ttl);
        self.observe_refusals(now);
    }

    /// Returns whether the caller of an opening may have sent a later copy than this one,
    /// which was read at `read_at`, and may have opened the flow with it.
    ///
    /// Such an opening is not placed: a second target would answer it, and the caller
    /// would then send that target's cookie in the flow that is open at another one.
    fn is_overtaken(&self, now: Instant, copy: u32, read_at: Instant) -> bool {
        let intervals = &self.options.copy_intervals;
        let interval = intervals[(copy as usize).min(intervals.len() - 1)];
        self.may_have_lain_unread(read_at) || now.since(read_at) >= interval
    }

    /// Returns whether a packet that was read at a time may have arrived before a pause of
    /// this process, as packets do that are read just after one.
    fn may_have_lain_unread(&self, read_at: Instant) -> bool {
        self.resumed_at
            .is_some_and(|resumed| read_at.since(resumed) < self.options.pause)
    }

    fn record_activity(&mut self, now: Instant) {
        let pause = self.options.pause;
        if self.active_at.is_some_and(|at| now.since(at) > pause) {
            self.resumed_at = Some(now);
        }
        self.active_at = self.active_at.max(Some(now));
    }

    /// Decides on a packet before the whole store has been read: it is sent if
    /// a target for it is known already, and waits otherwise.
    ///
    /// Load pattern: hundreds of entry VMs start at once and share the store's
    /// link, so that reading thousands of targets takes seconds.
    fn decide_early(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let known = match segment.kind {
            PacketKind::Opening => {
                let route = self.directory.route(&segment.flow.address, 0);
                route.is_some_and(|route| {
                    let mut eligible = self.directory.eligible_targets(route.service);
                    eligible.next().is_some()
                })
            }
            _ => self.directory.by_cookie(segment.cookie).is_some(),
        };
        if !known {
            return Verdict::Wait(WaitReason::StoreNotRead);
        }
        match self.decide(now, segment, false) {
            Verdict::Reset(_) | Verdict::Drop(_) => Verdict::Wait(WaitReason::StoreNotRead),
            verdict => verdict,
        }
    }

    fn decide_opening(&mut self, now: Instant, segment: &Segment, may_wait: bool) -> Verdict {
        let mut known = self.flows.get(&segment.flow).copied();
        if let Some(flow) = known.filter(|flow| flow.phase == FlowPhase::Open) {
            if flow.includes(segment) {
                return self.decide_late_copy(segment, flow.target);
            }
            // The caller has closed that flow elsewhere and uses its port again.
            self.forget_flow(segment, &flow);
            known = None;
        }
        let draw = self.rng.next_u64();
        let Some(route) = self.directory.route(&segment.flow.address, draw) else {
            return self.missing_route_verdict(now);
        };
        let service = route.service;
        if known.is_none() && may_wait {
            self.limit_mut(service).record_offer(now);
            if self.pending.has_openings(service) || !self.has_capacity(now, service) {
                return self.wait_for_capacity(service);
            }
        }
        let unanswered = known.filter(|flow| flow.phase == FlowPhase::Opening);
        if let Some(flow) = known {
            self.flows.remove(&segment.flow);
            release_load(&mut self.loads[flow.target.0 as usize], &flow);
        }
        if let Some(flow) = unanswered {
            self.record_unanswered(now, flow.target, flow.since);
        }
        let avoid = unanswered.map(|flow| flow.target);
        let Some((target, inputs)) = self.place(now, service, avoid) else {
            return Verdict::Reset(ResetReason::NoTarget);
        };
        let mut state = FlowState::opening(target, route.kind, segment, now);
        state.first_opening = unanswered.map_or(now, |flow| flow.first_opening);
        if self
            .flows
            .insert(segment.flow, state, self.options.max_flows)
        {
            let load = &mut self.loads[target.0 as usize];
            load.flow_opened();
            load.request_started(now);
            load.first_started();
            let in_flight = self.service_in_flight(service);
            self.limit_mut(service).record_admitted(now, in_flight);
        }
        if segment.copy > 0 {
            self.counters.retransmitted_openings += 1;
        }
        Verdict::Place { target, inputs }
    }

    /// Decides on a copy of the opening of an open flow. It is sent to the flow's target
    /// alone, and only while that target may get new flows of the route: if it has lost the
    /// flow, the copy opens another one.
    fn decide_late_copy(&self, segment: &Segment, target: TargetKey) -> Verdict {
        let may_open = self.directory.target(target).is_some_and(|entry| {
            let status = self
                .directory
                .route_status(&segment.flow.address, entry.service);
            entry.is_eligible() && matches!(status, RouteStatus::Allowed(_))
        });
        if !may_open {
            return Verdict::Drop(DropReason::Copy);
        }
        Verdict::Forward {
            target,
            adopted: false,
        }
    }

    fn missing_route_verdict(&self, now: Instant) -> Verdict {
        if self.has_view_within(now, self.options.max_route_view_age) {
            Verdict::Reset(ResetReason::NoRoute)
        } else {
            Verdict::Drop(DropReason::RouteUnknown)
        }
    }

    /// Returns whether the view of the store is complete and at most `max` old.
    fn has_view_within(&self, now: Instant, max: Duration) -> bool {
        let age = self.view_age(now);
        self.is_ready() && age.is_some_and(|age| age <= max)
    }

    /// Decides on a packet that isn't an opening.
    ///
    /// A packet of the remembered flow goes to that flow's target, whatever its cookie
    /// says: a second target may have answered a copy of the opening. A packet of another
    /// flow between the same addresses and ports goes to the target that its cookie names.
    fn decide_later_packet(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let Some(flow) = self.flows.get(&segment.flow).copied() else {
            return self.adopt(now, segment);
        };
        if flow.includes(segment) {
            return self.continue_flow(now, segment, flow);
        }
        // A late packet of an earlier flow arrives while the remembered one is in use.
        if now.since(flow.last_packet) <= self.options.closed_ttl {
            return self.decide_other_flow(now, segment);
        }
        self.forget_flow(segment, &flow);
        self.adopt(now, segment)
    }

    /// Decides on a packet of a remembered flow.
    fn continue_flow(&mut self, now: Instant, segment: &Segment, mut flow: FlowState) -> Verdict {
        if flow.phase == FlowPhase::Opening
            && segment.cookie.is_some()
            && self.directory.by_cookie(segment.cookie) != Some(flow.target)
        {
            match self.named_target(now, segment) {
                Ok((named, _)) => reassign_flow(&mut self.loads, &mut flow, named, now),
                Err(verdict) => return verdict,
            }
        }
        let progress = flow.observe(segment, now);
        if let Some(known) = self.flows.get_mut(&segment.flow) {
            *known = flow;
        }
        self.apply_progress(now, segment, &flow, progress);
        match self.reset_reason(now, &flow, &progress) {
            Some(reason) => {
                self.forget_flow(segment, &flow);
                Verdict::Reset(reason)
            }
            None => {
                if let Some(first_sent) = progress.retransmitted {
                    self.observations.push(Observation::Retransmitted {
                        flow: segment.flow,
                        target: flow.target,
                        waited: now.since(first_sent),
                    });
                }
                Verdict::Forward {
                    target: flow.target,
                    adopted: false,
                }
            }
        }
    }

    fn forget_flow(&mut self, segment: &Segment, flow: &FlowState) {
        self.flows.remove(&segment.flow);
        release_load(&mut self.loads[flow.target.0 as usize], flow);
    }

    /// Decides on a packet of another flow than the remembered one, which isn't affected.
    fn decide_other_flow(&self, now: Instant, segment: &Segment) -> Verdict {
        match self.named_target(now, segment) {
            Ok((target, _)) => Verdict::Forward {
                target,
                adopted: false,
            },
            Err(Verdict::Reset(_)) => Verdict::Drop(DropReason::RouteUnknown),
            Err(verdict) => verdict,
        }
    }

    /// Returns the target that a packet's cookie names, and the kind of its requests; or
    /// the verdict on a packet whose cookie names no target of its route.
    ///
    /// A flow is reset only if this entry VM has seen that its route was dropped. A route
    /// that it has never seen may be newer than its view of the store, however recent: the
    /// caller sends the packet again.
    fn named_target(
        &self,
        now: Instant,
        segment: &Segment,
    ) -> Result<(TargetKey, RequestKind), Verdict> {
        let target = self.directory.by_cookie(segment.cookie);
        let entry = target.and_then(|key| Some((key, self.directory.target(key)?)));
        let Some((target, entry)) = entry else {
            return Err(Verdict::Drop(DropReason::TargetUnknown));
        };
        let address = &segment.flow.address;
        match self.directory.route_status(address, entry.service) {
            RouteStatus::Allowed(kind) => Ok((target, kind)),
            RouteStatus::OtherService => Err(Verdict::Drop(DropReason::OtherService)),
            RouteStatus::Dropped => Err(self.missing_route_verdict(now)),
            RouteStatus::Unknown => Err(Verdict::Drop(DropReason::RouteUnknown)),
        }
    }

    fn adopt(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let (target, kind) = match self.named_target(now, segment) {
            Ok(named) => named,
            Err(verdict) => return verdict,
        };
        let mut flow = FlowState::adopted(target, kind, segment, now);
        let progress = flow.observe(segment, now);
        if self
            .flows
            .insert(segment.flow, flow, self.options.max_flows)
        {
            self.loads[target.0 as usize].flow_opened();
            self.apply_progress(now, segment, &flow, progress);
        }
        Verdict::Forward {
            target,
            adopted: true,
        }
    }

    fn apply_progress(
        &mut self,
        now: Instant,
        segment: &Segment,
        flow: &FlowState,
        progress: Progress,
    ) {
        let at = flow.target.0 as usize;
        if let Some(sent) = progress.answered {
            self.record_answer(sent, flow.target);
        }
        if let Some(took) = progress.opening_took {
            self.observations
                .push(Observation::OpeningAnswered { took });
        }
        if let Some(took) = progress.request_took {
            self.counters.answered += 1;
            if let Some(entry) = self.directory.target(flow.target) {
                let key = (entry.service, entry.zone);
                self.response_times
                    .entry(key)
                    .or_default()
                    .record(now, took);
                let service = entry.service;
                let aim = self.directory.aim(&segment.flow.address);
                let options = self.options.admission;
                if !progress.was_retransmitted && Some(now - took) >= self.resumed_at {
                    self.limit_mut(service)
                        .record_response(&options, now, took, aim);
                }
            }
            self.observations
                .push(Observation::RequestAnswered { took });
        }
        let load = &mut self.loads[at];
        if let Some(took) = progress.request_took {
            load.record_response(now, took);
        }
        if progress.request_ended {
            load.request_ended(progress.first_ended);
        }
        if progress.request_started {
            load.request_started(now);
        }
        if progress.closed {
            load.flow_closed();
        }
        if let Some(first_sent) = progress.retransmitted {
            self.counters.retransmitted_requests += 1;
            self.record_unanswered(now, flow.target, first_sent);
        }
    }
}

/// Takes a flow and its request in flight off its target's load.
fn release_load(load: &mut TargetLoad, flow: &FlowState) {
    if flow.phase != FlowPhase::Closed {
        load.flow_closed();
    }
    if flow.request_since.is_some() {
        load.request_ended(flow.is_first);
    }
}

/// Moves a flow to the target that its caller has chosen among several that
/// answered copies of its opening.
fn reassign_flow(loads: &mut [TargetLoad], flow: &mut FlowState, to: TargetKey, now: Instant) {
    release_load(&mut loads[flow.target.0 as usize], flow);
    flow.target = to;
    let load = &mut loads[to.0 as usize];
    load.flow_opened();
    if flow.request_since.is_some() {
        load.request_started(now);
        if flow.is_first {
            load.first_started();
        }
    }
}
