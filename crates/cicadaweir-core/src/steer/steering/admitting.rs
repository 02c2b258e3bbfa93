//! Admission of openings to a service.

use crate::{
    catalog::ServiceKey,
    packet::PacketKind,
    steer::{
        ConcurrencyLimit, DropReason, Fate, LimitPolicy, Observation, OpeningClass, PendingPacket,
        ResetReason, RouteMatch, Segment, Verdict, WaitReason,
    },
    time::{Duration, Instant},
};

use super::Steering;

/// How long after its last refusal a service counts as refusing.
const REFUSING_TTL: Duration = Duration::from_secs(2);

impl Steering {
    /// Returns the limit of a service's first requests in flight from this entry VM.
    pub fn service_limit(&self, service: ServiceKey) -> f32 {
        let limit = self.limits.get(service.0 as usize);
        limit.map_or(f32::INFINITY, |limit| limit.limit(&self.options.admission))
    }

    /// Returns the first requests of flows of a service that are in flight from this
    /// entry VM. Later requests can't be refused, and show in the response times.
    pub fn service_in_flight(&self, service: ServiceKey) -> u32 {
        let targets = self.directory.service_targets(service).iter();
        targets
            .map(|&key| self.target_load(key).first_in_flight)
            .sum()
    }

    /// Returns the response time of a service without queues, in seconds.
    pub(super) fn usual_response_time(&self, service: ServiceKey) -> f32 {
        let limit = self.limits.get(service.0 as usize);
        limit.map_or(f32::INFINITY, ConcurrencyLimit::baseline)
    }

    pub(super) fn limit_mut(&mut self, service: ServiceKey) -> &mut ConcurrencyLimit {
        let at = service.0 as usize;
        if self.limits.len() <= at {
            self.limits.resize(at + 1, ConcurrencyLimit::default());
        }
        &mut self.limits[at]
    }

    /// Sets the slots from which the limits of services start.
    pub(super) fn update_slots(&mut self, service: ServiceKey) {
        let eligible = self.directory.eligible_targets(service);
        let slots = eligible.fold(0u32, |sum, (_, entry)| sum.saturating_add(entry.slots));
        let options = self.options.admission;
        self.limit_mut(service).set_slots(&options, slots);
    }

    /// Returns whether the limit of a service admits an opening now.
    pub(super) fn is_within_limit(&self, now: Instant, service: ServiceKey) -> bool {
        let in_flight = self.service_in_flight(service);
        let limit = self.limits.get(service.0 as usize);
        limit.is_none_or(|limit| limit.allows(&self.options.admission, now, in_flight))
    }

    /// Returns what an opening waits for. One that has not been refused while that was
    /// possible waits like a copy.
    pub(super) fn opening_class(
        &self,
        now: Instant,
        pending: &PendingPacket,
    ) -> Option<OpeningClass> {
        let route = self
            .directory
            .route(&pending.segment.flow.address, u64::from(pending.packet.0))?;
        let wait = if self.is_fresh(now, &pending.segment, pending.since) {
            self.max_wait(now, &route)
        } else {
            self.options.copy_timeout
        };
        Some(OpeningClass {
            service: route.service,
            priority: route.priority,
            deadline: pending.since + wait,
        })
    }

    /// Returns whether a refusal of an opening that was read at `since` is true: no copy
    /// of it can have been sent to a target, here or by another entry VM.
    fn may_refuse(&self, now: Instant, segment: &Segment, since: Instant) -> bool {
        self.is_fresh(now, segment, since) && !self.may_have_lain_unread(since)
    }

    /// Returns whether a packet that was read at `since` is a first copy, and its caller
    /// has not sent another one since.
    fn is_fresh(&self, now: Instant, segment: &Segment, since: Instant) -> bool {
        segment.kind == PacketKind::Opening
            && segment.copy == 0
            && now.since(since) < self.options.refusal_window
    }

    /// Returns the longest wait of an opening for admission.
    fn max_wait(&self, now: Instant, route: &RouteMatch) -> Duration {
        let objective = route.aim.into_iter().chain(route.timeout).min();
        let most = self.options.capacity_timeout;
        let limit = self.limits.get(route.service.0 as usize);
        limit.map_or(most, |limit| {
            limit.max_wait(&self.options.admission, now, objective, most)
        })
    }

    /// Lets an opening wait that can't be placed now.
    pub(super) fn wait_for_capacity(&mut self, service: ServiceKey) -> Verdict {
        self.limit_mut(service).record_limited();
        Verdict::Wait(WaitReason::NoCapacity)
    }

    /// Refuses an opening of which no packet has been sent to a target.
    fn refuse(&mut self, now: Instant, route: &RouteMatch) -> Verdict {
        self.limit_mut(route.service).record_refused(now);
        self.counters.record_refusal(route.priority);
        Verdict::Reset(ResetReason::Overloaded)
    }

    /// Decides on an opening that leaves the queue to be refused. It is dropped if this
    /// process was paused meanwhile, so that a copy may have passed elsewhere.
    pub(super) fn refuse_pending(&mut self, now: Instant, pending: &PendingPacket) -> Verdict {
        let draw = u64::from(pending.packet.0);
        let Some(route) = self.directory.route(&pending.segment.flow.address, draw) else {
            return self.missing_route_verdict(now);
        };
        if self.may_refuse(now, &pending.segment, pending.since) {
            self.refuse(now, &route)
        } else {
            Verdict::Drop(DropReason::Waited)
        }
    }

    /// Refuses openings that would wait for too long, while a service stays overloaded.
    pub(super) fn trim_pending(&mut self, now: Instant, segment: &Segment) {
        let Some(route) = self.directory.route(&segment.flow.address, 0) else {
            return;
        };
        let options = self.options.admission;
        let max_wait = self.max_wait(now, &route);
        if options.policy == LimitPolicy::Unlimited || max_wait >= self.options.capacity_timeout {
            return;
        }
        let max = self
            .limit_mut(route.service)
            .queue_length(&options, max_wait);
        self.pending.trim(route.service, max);
    }

    /// Returns whether openings of a service beyond its limit are refused.
    fn is_overloaded(&self, now: Instant, service: ServiceKey) -> bool {
        let options = self.options.admission;
        let limit = self.limits.get(service.0 as usize);
        options.policy != LimitPolicy::Unlimited
            && limit.is_some_and(|limit| limit.is_overloaded(&options, now))
    }

    /// Removes a pending opening whose deadline has passed. It is refused if its service
    /// is overloaded and the refusal is true, and placed if there is no sign of
    /// overload. `Err` is to be dropped: its caller sends another copy.
    pub(super) fn next_overdue(
        &mut self,
        now: Instant,
    ) -> Option<Result<PendingPacket, PendingPacket>> {
        let overdue = self.pending.pop_overdue(now)?;
        let class = overdue.class;
        if !class.is_some_and(|class| self.is_overloaded(now, class.service)) {
            return Some(Ok(overdue));
        }
        if self.may_refuse(now, &overdue.segment, overdue.since) {
            return Some(Ok(PendingPacket {
                fate: Fate::Refuse,
                ..overdue
            }));
        }
        Some(Err(overdue))
    }

    /// Reports services that started or stopped refusing.
    pub(super) fn observe_refusals(&mut self, now: Instant) {
        self.refusing.resize(self.limits.len(), false);
        for at in 0..self.limits.len() {
            let refused_at = self.limits[at].refused_at();
            let refuses = refused_at.is_some_and(|refused| now.since(refused) < REFUSING_TTL);
            if std::mem::replace(&mut self.refusing[at], refuses) == refuses {
                continue;
            }
            let service = ServiceKey(at as u32);
            self.observations.push(Observation::Refusing {
                service,
                refuses,
                limit: self.service_limit(service),
                in_flight: self.service_in_flight(service),
                response_time: self.limits[at].response_time(),
            });
        }
    }
}
