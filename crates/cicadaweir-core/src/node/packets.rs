//! Packets: from callers, from other entry VMs, from targets.

use crate::{
    flow::{FlowEntry, FlowFlags, FlowState, FlowTable},
    hash,
    membership::Member,
    placement,
    prelude::*,
    route::{BucketRoute, Decision, MAX_HOPS, Reason, RelayHeader},
};

use super::{Guard, Node, placing::Arrival};

/// How long after a member vanished the resets of unknown flows are doubted.
const DOUBT: Duration = Duration::from_secs(120);

/// How long after its last packet an open flow's opening counts as a
/// repetition and not as a new flow on the same port.
const REPETITION: Duration = Duration::from_secs(3);

impl Node {
    pub(super) fn caller_packet(
        &mut self,
        now: Instant,
        packet: PacketRef,
        info: &PacketInfo,
        header: Option<RelayHeader>,
        out: &mut Vec<Action>,
    ) {
        let Some((address, service)) = self.catalog.lookup(&info.flow) else {
            let kind = self.kind_without_service();
            return self.discard(packet, kind, out);
        };
        let hash = hash::flow(&self.hash_key, &info.flow);
        let arrival = Arrival {
            address,
            service,
            hash,
            bucket: placement::bucket(hash),
        };
        if self.is_broken(info, arrival.hash) {
            out.push(Action::ResetCaller { packet });
            return;
        }
        match self.decide(now, info, &arrival, header.as_ref()) {
            Decision::Target(target, reason) => {
                self.remember(now, info, &arrival, target, reason);
                self.forward(packet, target, reason, out);
            }
            Decision::Owner(to) => self.relay(packet, to, header, out),
            Decision::Ask => self.ask(now, packet, info, &arrival, out),
            Decision::Error(kind) => self.reject(packet, info, kind, out),
        }
    }

    /// Returns whether a member vanished a short while ago.
    pub(super) fn member_is_missing(&self, now: Instant) -> bool {
        let recently = |m: &Member| now.since(m.health_changed_at) < DOUBT;
        self.view.iter().any(|m| m.has_failed() && recently(m))
    }

    /// Without any catalog this entry VM cannot say that nobody has the
    /// address.
    fn kind_without_service(&self) -> ErrorKind {
        if self.catalog.revision() == Revision::default() {
            ErrorKind::Behind
        } else {
            ErrorKind::AddressUnknown
        }
    }

    pub(super) fn decide(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
        header: Option<&RelayHeader>,
    ) -> Decision {
        if let Some(target) = self.remembered(now, info, arrival) {
            return Decision::Target(target, Reason::Remembered);
        }
        if self.options.policy != crate::route::Policy::Owned {
            return self.place_by_baseline(now, arrival);
        }
        let service = self.catalog.service(arrival.service);
        let from = header.map(|h| h.from);
        let bucket_route =
            BucketRoute::new(service, arrival.bucket, self.agreement.agreed(), |slot| {
                self.acting_owner(now, slot, from)
            });
        let opening = info.kind == PacketKind::Opening;
        if !opening {
            if let Some(target) = self.recovery.handed_over(arrival.hash) {
                return Decision::Target(target, Reason::HandedOver);
            }
        }
        if self.behind_since.is_some() {
            return Decision::Error(ErrorKind::Behind);
        }
        if !bucket_route.ambiguous {
            return self.place_unambiguous(now, info, arrival, bucket_route.base);
        }
        if bucket_route.owner != Some(self.view.me()) {
            return Self::relay_decision(&bucket_route, header);
        }
        if header.is_some_and(|h| h.known > self.agreement.known()) {
            return Decision::Error(ErrorKind::Behind);
        }
        self.decide_as_owner(now, info, arrival, &bucket_route)
    }

    fn relay_decision(bucket_route: &BucketRoute, header: Option<&RelayHeader>) -> Decision {
        match bucket_route.owner {
            None => Decision::Error(ErrorKind::Behind),
            Some(_) if header.is_some_and(|h| h.hops >= MAX_HOPS) => {
                Decision::Error(ErrorKind::RelayHops)
            }
            Some(owner) => Decision::Owner(owner),
        }
    }

    /// Looks the flow up; an opening on a port whose last flow has ended, or
    /// has long been quiet, is a new flow.
    fn remembered(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
    ) -> Option<TargetKey> {
        let caller = &info.flow.caller;
        let entry = self.flows.get_mut(arrival.hash, caller, arrival.address)?;
        if info.kind == PacketKind::Opening && !is_repetition(entry, now) {
            self.flows.remove(arrival.hash, caller, arrival.address);
            return None;
        }
        FlowTable::touch(entry, now, info);
        Some(entry.target)
    }

    /// Remembers a flow's target after a decision.
    pub(super) fn remember(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
        target: TargetKey,
        reason: Reason,
    ) {
        if reason == Reason::Remembered {
            return;
        }
        let mut flags = FlowFlags::default();
        if matches!(reason, Reason::Placed | Reason::Deviated) {
            flags.insert(FlowFlags::PLACED_HERE);
        }
        let state = FlowState::first(info.kind);
        let caller = &info.flow.caller;
        // A full table costs an unambiguous flow nothing; the owner has made
        // sure of room before it placed a flow.
        let inserted = self.flows.insert(
            now,
            arrival.hash,
            caller,
            arrival.address,
            target,
            state,
            flags,
        );
        if let Ok(entry) = inserted {
            FlowTable::touch(entry, now, info);
        }
    }

    pub(super) fn forward(
        &mut self,
        packet: PacketRef,
        target: TargetKey,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.counters.forward(reason);
        out.push(Action::Forward { packet, target });
    }

    fn relay(
        &mut self,
        packet: PacketRef,
        to: MemberId,
        header: Option<RelayHeader>,
        out: &mut Vec<Action>,
    ) {
        self.counters.relayed += 1;
        let header = RelayHeader {
            from: self.view.me(),
            view: self.relations.digest,
            known: self.agreement.known(),
            hops: header.map_or(0, |h| h.hops) + 1,
        };
        out.push(Action::Relay { packet, to, header });
    }

    pub(super) fn discard(&mut self, packet: PacketRef, kind: ErrorKind, out: &mut Vec<Action>) {
        self.counters.error(kind);
        out.push(Action::Discard { packet, kind });
    }

    /// Refuses an opening, or discards anything else: a refusal is sent only
    /// where no packet of the flow was delivered.
    fn reject(
        &mut self,
        packet: PacketRef,
        info: &PacketInfo,
        kind: ErrorKind,
        out: &mut Vec<Action>,
    ) {
        let refuses = kind.disposition() == crate::error::Disposition::Refuse;
        if refuses && info.kind == PacketKind::Opening {
            self.counters.error(kind);
            out.push(Action::Refuse { packet, kind });
        } else {
            self.discard(packet, kind, out);
        }
    }

    /// Hands an answer on, and learns from it: the target that answers for a
    /// flow is the flow's target for certain.
    pub(super) fn target_packet(
        &mut self,
        now: Instant,
        packet: PacketRef,
        info: &PacketInfo,
        from: &Endpoint,
        out: &mut Vec<Action>,
    ) {
        let Some((address, service)) = self.catalog.lookup(&info.flow) else {
            return self.discard(packet, ErrorKind::AddressUnknown, out);
        };
        let Some(target) = self.catalog.target_at(service, from) else {
            return self.discard(packet, ErrorKind::AnswerFromStranger, out);
        };
        self.observe_answer(now, info, target);
        let hash = hash::flow(&self.hash_key, &info.flow);
        if !self.learn(now, info, address, hash, target) {
            return self.discard(packet, ErrorKind::AnswerFromStranger, out);
        }
        self.counters.to_callers += 1;
        out.push(Action::ToCaller { packet });
    }

    /// Records an answer; returns whether it may be handed on. A reset of a
    /// target that is not the flow's own must not reach the caller; while
    /// members are missing, which may have placed the flow elsewhere, neither
    /// does the reset of a target that never answered for it here.
    fn learn(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        address: AddressKey,
        hash: u64,
        target: TargetKey,
    ) -> bool {
        let caller = &info.flow.caller;
        if !self.guards(Guard::ResetFilter) && info.kind == PacketKind::Reset {
            return true;
        }
        let doubtful = info.kind == PacketKind::Reset && self.member_is_missing(now);
        let Some(entry) = self.flows.get_mut(hash, caller, address) else {
            if doubtful {
                return false;
            }
            if info.kind != PacketKind::Reset {
                let state = FlowState::first(info.kind);
                let flags = FlowFlags::ANSWERED;
                let _ = self
                    .flows
                    .insert(now, hash, caller, address, target, state, flags);
            }
            return true;
        };
        if doubtful && !entry.flags.contains(FlowFlags::ANSWERED) {
            return false;
        }
        if entry.target != target {
            if info.kind == PacketKind::Reset {
                return false;
            }
            entry.target = target;
            entry.state = FlowState::first(info.kind);
            entry.flags = FlowFlags::default();
        }
        FlowTable::touch(entry, now, info);
        true
    }
}

fn is_repetition(entry: &FlowEntry, now: Instant) -> bool {
    match entry.state {
        FlowState::Opening => true,
        FlowState::Closed => false,
        FlowState::Established | FlowState::HalfClosed | FlowState::Datagram => {
            FlowTable::idle(entry, now) < REPETITION
        }
    }
}
