//! Choosing a target for a packet of a flow that is not remembered.

use crate::{
    flow::Protocol,
    hash,
    load::Mark,
    membership::Member,
    prelude::*,
    route::{BucketRoute, Decision, Policy, Reason},
};

use super::{Guard, Node, lookup::MOST_ASKED};

/// The parts of an arriving packet's flow that decisions need.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub address: AddressKey,
    pub service: ServiceKey,
    pub hash: u64,
    pub bucket: u16,
}

impl Node {
    /// Decides where all live generations agree: openings pass admission,
    /// everything else goes to the one target that its flow can have.
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
        if let Some(kind) = self.refusal(now, arrival, target) {
            return Decision::Error(kind);
        }
        self.count_placed(now, target);
        Decision::Target(target, Reason::Unambiguous)
    }

    /// Decides for an ambiguous bucket that this entry VM owns.
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

    /// Places a new flow of an ambiguous bucket.
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
        let target = self.choose(now, arrival, primary);
        let Some(target) = target else {
            return Decision::Error(self.kind_without_target(now, primary));
        };
        if let Some(kind) = self.refusal(now, arrival, target) {
            return Decision::Error(kind);
        }
        self.count_placed(now, target);
        if target == primary {
            Decision::Target(target, Reason::Placed)
        } else {
            Decision::Target(target, Reason::Deviated)
        }
    }

    /// All targets are down: the flow is refused once this is so for longer
    /// than callers wait before they repeat an opening, and deferred until
    /// then, or while a member is missing that may see targets up.
    fn kind_without_target(&self, now: Instant, primary: TargetKey) -> ErrorKind {
        if self.nothing_is_delivered(now, primary) {
            ErrorKind::NoTarget
        } else {
            ErrorKind::Deferred
        }
    }

    /// Places a datagram that no reachable member remembers. An unreachable
    /// one may have delivered it: that does not matter while every member
    /// would have chosen the same target, and is left unanswered otherwise.
    pub(super) fn place_datagram(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
    ) -> Decision {
        if self.witness_is_missing(now) && !self.choice_is_certain(now, arrival, bucket_route) {
            return Decision::Error(ErrorKind::WitnessMissing);
        }
        self.place(now, arrival, bucket_route)
    }

    /// Returns whether a member that was not asked may have delivered, or be
    /// delivering, datagrams: one that ended without leaving, or one of a
    /// fleet that is too large for all to be asked.
    fn witness_is_missing(&self, now: Instant) -> bool {
        if !self.guards(Guard::Witness) {
            return false;
        }
        if self.view.peers().filter(|m| m.has_announced()).count() > MOST_ASKED {
            return true;
        }
        let horizon = self.options.repeat_horizon;
        let concerned = |m: &Member| m.listed || now.since(m.health_changed_at) < horizon;
        self.view.iter().any(|m| m.has_failed() && concerned(m))
    }

    /// Returns whether every member has, for as long as callers repeat a
    /// datagram, placed the bucket's new flows on the target in force.
    fn choice_is_certain(
        &self,
        now: Instant,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
    ) -> bool {
        let horizon = self.options.repeat_horizon;
        let service = self.catalog.service(arrival.service);
        let settled = service.generations.iter().all(|g| {
            g.target(arrival.bucket) == bucket_route.in_force
                || Catalog::superseded_for(g, now) >= horizon
        });
        let mark = self.catalog.target(bucket_route.in_force).mark;
        settled && matches!(mark, Mark::Normal | Mark::Settled)
    }

    /// Chooses between a bucket's target and its alternatives by marks.
    fn choose(&self, now: Instant, arrival: &Arrival, primary: TargetKey) -> Option<TargetKey> {
        let mark = self.catalog.target(primary).mark;
        match mark {
            Mark::Normal | Mark::Settled => Some(primary),
            Mark::Down => self.alternative(arrival, primary),
            Mark::Ramping if self.ramp_admits(now, arrival, primary) => Some(primary),
            Mark::Hot if !self.mark_is_settled(now, primary) => Some(primary),
            Mark::Ramping | Mark::Hot => self.less_full(arrival, primary),
        }
    }

    fn less_full(&self, arrival: &Arrival, primary: TargetKey) -> Option<TargetKey> {
        let Some(other) = self.alternative(arrival, primary) else {
            return Some(primary);
        };
        if self.utilization(other) < self.utilization(primary) {
            Some(other)
        } else {
            Some(primary)
        }
    }

    /// Returns the less full of the two best-ranked other targets that take
    /// new work; ranks differ from flow to flow, so that no single target
    /// takes all that another one loses.
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

    /// Returns why an opening is refused, if it is.
    fn refusal(&self, now: Instant, arrival: &Arrival, target: TargetKey) -> Option<ErrorKind> {
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

    /// Returns whether nothing of an unknown flow can have been delivered to
    /// a full target: its openings have passed through their owners for
    /// longer than callers wait before they repeat one, and no member is
    /// missing that may have delivered one all the same.
    fn may_refuse(&self, now: Instant, target: TargetKey) -> bool {
        let mark = self.catalog.target(target).mark;
        mark == Mark::Hot && self.nothing_is_delivered(now, target)
    }

    /// Returns whether a target's mark is known for longer than callers wait
    /// before they repeat an opening, and no member is missing.
    fn nothing_is_delivered(&self, now: Instant, target: TargetKey) -> bool {
        let known_for = now.since(self.targets[target.0 as usize].marked_since);
        known_for >= self.options.load.refuse_after && !self.member_is_missing(now)
    }

    /// Places a flow as one of the baselines would.
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
