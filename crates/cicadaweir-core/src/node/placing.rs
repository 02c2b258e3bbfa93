//! Target selection for packets of flows that are not in the flow table.

use crate::{
    flow::Protocol,
    hash,
    load::Mark,
    membership::Member,
    prelude::*,
    route::{BucketRoute, Decision, Policy, Reason},
};

use super::{Guard, Node, lookup::MAX_QUERIED_MEMBERS};

/// The properties of an arriving packet's flow that decisions depend on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub address: AddressKey,
    pub service: ServiceKey,
    /// The keyed hash of the flow.
    pub hash: u64,
    pub bucket: u16,
}

impl Node {
    /// Decides for a bucket whose live generations agree on the target: openings
    /// are subject to admission control, all other packets go to that target.
    pub(super) fn place_unambiguous(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
        target: TargetKey,
    ) -> Decision {
        if info.kind != PacketKind::Opening {
            return Decision::Target(target, Reason::Unambiguous);
        }
        if let Some(kind) = self.refusal_reason(now, arrival, target) {
            return Decision::Error(kind);
        }
        self.record_placement(now, target);
        Decision::Target(target, Reason::Unambiguous)
    }

    /// Decides for an ambiguous bucket that this entry VM owns. Openings are
    /// placed; datagrams, and packets of slots with incomplete exceptions, need
    /// a lookup; other packets belong to the base generation.
    pub(super) fn decide_as_owner(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
    ) -> Decision {
        if info.kind == PacketKind::Opening {
            return self.place(now, arrival, bucket_route);
        }
        if info.flow.protocol == Protocol::Udp {
            return Decision::Ask;
        }
        if self.recovery.is_incomplete(bucket_route.slot) {
            return Decision::Ask;
        }
        Decision::Target(bucket_route.base, Reason::Base)
    }

    /// Places a new flow of an ambiguous bucket, subject to admission control.
    pub(super) fn place(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
    ) -> Decision {
        if self.flows.len() >= self.options.max_flows {
            return Decision::Error(ErrorKind::TableFull);
        }
        let primary = bucket_route.in_force;
        let target = self.choose_target(now, arrival, primary);
        let Some(target) = target else {
            return Decision::Error(self.no_target_error(now, primary));
        };
        if let Some(kind) = self.refusal_reason(now, arrival, target) {
            return Decision::Error(kind);
        }
        self.record_placement(now, target);
        if target == primary {
            Decision::Target(target, Reason::Placed)
        } else {
            Decision::Target(target, Reason::Deviated)
        }
    }

    /// Returns the error for a flow whose targets are all down. The flow is
    /// refused once that state has lasted longer than callers wait before they
    /// retransmit an opening. Until then, and while a member that may see
    /// targets up has recently failed, it is deferred.
    fn no_target_error(&self, now: Instant, primary: TargetKey) -> ErrorKind {
        if self.refusal_is_safe(now, primary) {
            ErrorKind::NoTarget
        } else {
            ErrorKind::Deferred
        }
    }

    /// Places a datagram of a flow that no queried member remembers. If a member
    /// that was not queried may have forwarded an earlier copy, the datagram is
    /// placed only if that member would have chosen the same target.
    pub(super) fn place_datagram(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
    ) -> Decision {
        if self.unqueried_forwarder_possible(now)
            && !self.placement_was_stable(now, arrival, bucket_route)
        {
            return Decision::Error(ErrorKind::ForwarderUnreachable);
        }
        self.place(now, arrival, bucket_route)
    }

    /// Returns whether a member that was not queried may have forwarded a datagram of
    /// a flow: a member that failed without leaving, or any member if there are too
    /// many to query all of them.
    fn unqueried_forwarder_possible(&self, now: Instant) -> bool {
        if !self.guard_enabled(Guard::Witness) {
            return false;
        }
        if self.view.peers().filter(|m| m.has_announced()).count() > MAX_QUERIED_MEMBERS {
            return true;
        }
        let window = self.options.datagram_retransmission_window;
        let relevant = |m: &Member| m.listed || now.since(m.health_changed_at) < window;
        self.view.iter().any(|m| m.has_failed() && relevant(m))
    }

    /// Returns whether every member has placed the bucket's new flows on the
    /// target in force for as long as callers retransmit a datagram.
    fn placement_was_stable(
        &self,
        now: Instant,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
    ) -> bool {
        let window = self.options.datagram_retransmission_window;
        let service = self.catalog.service(arrival.service);
        let unchanged = service.generations.iter().all(|g| {
            g.target(arrival.bucket) == bucket_route.in_force
                || Catalog::superseded_for(g, now) >= window
        });
        let mark = self.catalog.target(bucket_route.in_force).mark;
        unchanged && matches!(mark, Mark::Normal | Mark::Settled)
    }

    /// Chooses between a bucket's target and its alternatives by their marks;
    /// absent if all are down.
    fn choose_target(
        &self,
        now: Instant,
        arrival: &Arrival,
        primary: TargetKey,
    ) -> Option<TargetKey> {
        let mark = self.catalog.target(primary).mark;
        match mark {
            Mark::Normal | Mark::Settled => Some(primary),
            Mark::Down => self.alternative(arrival, primary),
            Mark::Ramping if self.ramp_admits(now, arrival, primary) => Some(primary),
            Mark::Hot if !self.mark_has_propagated(now, primary) => Some(primary),
            Mark::Ramping | Mark::Hot => self.less_utilized(arrival, primary),
        }
    }

    /// Returns the alternative target if it is less utilized, and the primary
    /// otherwise.
    fn less_utilized(&self, arrival: &Arrival, primary: TargetKey) -> Option<TargetKey> {
        let Some(other) = self.alternative(arrival, primary) else {
            return Some(primary);
        };
        if self.utilization(other) < self.utilization(primary) {
            Some(other)
        } else {
            Some(primary)
        }
    }

    /// Returns the less utilized of the two highest-ranked other targets that
    /// are not down. Ranks differ between flows, so that no single target
    /// receives all flows that deviate from another.
    fn alternative(&self, arrival: &Arrival, primary: TargetKey) -> Option<TargetKey> {
        let service = self.catalog.service(arrival.service);
        let generation = service.in_force(self.agreement.agreed());
        let rank = |t: TargetKey| hash::mix(arrival.hash, u64::from(t.0));
        let mut best: [Option<TargetKey>; 2] = [None, None];
        for &(target, _) in generation.targets.iter() {
            if target == primary || self.catalog.target(target).mark == Mark::Down {
                continue;
            }
            if best[0].is_none_or(|b| rank(target) > rank(b)) {
                best = [Some(target), best[0]];
            } else if best[1].is_none_or(|b| rank(target) > rank(b)) {
                best[1] = Some(target);
            }
        }
        match best {
            [Some(a), Some(b)] if self.utilization(b) < self.utilization(a) => Some(b),
            [first, _] => first,
        }
    }

    /// Returns the error for an opening that is refused or deferred, if any.
    fn refusal_reason(
        &self,
        now: Instant,
        arrival: &Arrival,
        target: TargetKey,
    ) -> Option<ErrorKind> {
        let service = self.catalog.service(arrival.service);
        let agreed = self.agreement.agreed();
        if service.withdrawn.is_some_and(|at| at <= agreed) {
            return Some(ErrorKind::NoTarget);
        }
        if !self.options.load.refuse || self.admits(now, target) {
            return None;
        }
        if self.may_refuse(now, target) {
            return Some(ErrorKind::Overloaded);
        }
        Some(ErrorKind::Deferred)
    }

    /// Returns whether no packet of an unknown flow can have been delivered to a
    /// full target: openings have passed through the owners for longer than
    /// callers wait before they retransmit one, and no member that may have
    /// delivered one has recently failed.
    fn may_refuse(&self, now: Instant, target: TargetKey) -> bool {
        let mark = self.catalog.target(target).mark;
        mark == Mark::Hot && self.refusal_is_safe(now, target)
    }

    /// Returns whether a target's mark has been known for longer than callers
    /// wait before they retransmit an opening, and no member has recently
    /// failed.
    fn refusal_is_safe(&self, now: Instant, target: TargetKey) -> bool {
        let known_for = now.since(self.targets[target.0 as usize].mark_changed_at);
        known_for >= self.options.load.refuse_after && !self.member_failed_recently(now)
    }

    /// Places a flow by the configured baseline policy.
    pub(super) fn place_by_baseline(&mut self, now: Instant, arrival: &Arrival) -> Decision {
        let service = self.catalog.service(arrival.service);
        let generation = service.in_force(self.agreement.agreed());
        let targets = &generation.targets;
        let target = match self.options.policy {
            Policy::Owned | Policy::RendezvousAlone => generation.target(arrival.bucket),
            Policy::Modulo => targets[arrival.hash as usize % targets.len()].0,
            Policy::LeastReported => targets
                .iter()
                .map(|t| t.0)
                .min_by_key(|&t| self.reported_open(now, t))
                .unwrap_or(targets[0].0),
        };
        Decision::Target(target, Reason::Placed)
    }
}
