//! Packets from callers, from other entry VMs and from targets.

use crate::{
    flow::{FlowEntry, FlowFlags, FlowState, FlowTable},
    hash,
    membership::Member,
    placement,
    prelude::*,
    route::{BucketRoute, Decision, MAX_HOPS, Reason, RelayHeader},
};

use super::{Guard, Node, placing::Arrival};

/// How long after a member's failure the packets that it delivered may still
/// matter. During that time resets of unknown flows are dropped, no flow is
/// refused, and no silent flow is reset.
const FAILED_MEMBER_WINDOW: Duration = Duration::from_secs(120);

/// How long after its last packet an opening of an open flow counts as a
/// retransmission rather than as a new flow on the same port.
const OPENING_RETRANSMISSION_WINDOW: Duration = Duration::from_secs(3);

impl Node {
    /// Forwards, relays, buffers or rejects a packet from a caller. `header` is
    /// present if another entry VM relayed the packet.
    pub(super) fn handle_caller_packet(
        &mut self,
        now: Instant,
        packet: PacketRef,
        info: &PacketInfo,
        header: Option<RelayHeader>,
        out: &mut Vec<Action>,
    ) {
        let Some((address, service)) = self.catalog.lookup(&info.flow) else {
            let kind = self.unknown_address_error();
            return self.discard(packet, kind, out);
        };
        let hash = hash::flow(&self.hash_key, &info.flow);
        let arrival = Arrival {
            address,
            service,
            hash,
            bucket: placement::bucket(hash),
        };
        if self.must_reset(info, arrival.hash) {
            out.push(Action::ResetCaller { packet });
            return;
        }
        match self.decide(now, info, &arrival, header.as_ref()) {
            Decision::Target(target, reason) => {
                self.record_flow(now, info, &arrival, target, reason);
                self.forward(packet, target, reason, out);
            }
            Decision::Owner(to) => self.relay(packet, to, header, out),
            Decision::Ask => self.start_lookup(now, packet, info, &arrival, out),
            Decision::Error(kind) => self.refuse_or_discard(packet, info, kind, out),
        }
    }

    /// Returns whether a member failed within [`FAILED_MEMBER_WINDOW`].
    pub(super) fn member_failed_recently(&self, now: Instant) -> bool {
        let recently = |m: &Member| now.since(m.health_changed_at) < FAILED_MEMBER_WINDOW;
        self.view.iter().any(|m| m.has_failed() && recently(m))
    }

    /// Returns the error for an address without a service. Without a catalog
    /// this entry VM cannot tell whether the address exists.
    fn unknown_address_error(&self) -> ErrorKind {
        if self.catalog.revision() == Revision::default() {
            ErrorKind::StateStale
        } else {
            ErrorKind::AddressUnknown
        }
    }

    /// Decides where a packet goes. The flow table comes first, then fetched
    /// exceptions, then the bucket's target or its owner.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
        header: Option<&RelayHeader>,
    ) -> Decision {
        if let Some(target) = self.recorded_target(now, info, arrival) {
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
            if let Some(target) = self.recovery.fetched_target(arrival.hash) {
                return Decision::Target(target, Reason::HandedOver);
            }
        }
        if self.stale_since.is_some() {
            return Decision::Error(ErrorKind::StateStale);
        }
        if !bucket_route.ambiguous {
            return self.place_unambiguous(now, info, arrival, bucket_route.base);
        }
        if bucket_route.owner != Some(self.view.me()) {
            return Self::relay_decision(&bucket_route, header);
        }
        if header.is_some_and(|h| h.known > self.agreement.known()) {
            return Decision::Error(ErrorKind::StateStale);
        }
        self.decide_as_owner(now, info, arrival, &bucket_route)
    }

    /// Returns the owner to relay to, within the limit of hops.
    fn relay_decision(bucket_route: &BucketRoute, header: Option<&RelayHeader>) -> Decision {
        match bucket_route.owner {
            None => Decision::Error(ErrorKind::StateStale),
            Some(_) if header.is_some_and(|h| h.hops >= MAX_HOPS) => {
                Decision::Error(ErrorKind::RelayHops)
            }
            Some(owner) => Decision::Owner(owner),
        }
    }

    /// Returns the target of a flow in the flow table. An opening on a port
    /// whose previous flow has ended or has been idle for a while starts a new
    /// flow.
    fn recorded_target(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        arrival: &Arrival,
    ) -> Option<TargetKey> {
        let caller = &info.flow.caller;
        let entry = self.flows.get_mut(arrival.hash, caller, arrival.address)?;
        if info.kind == PacketKind::Opening && !is_retransmitted_opening(entry, now) {
            self.flows.remove(arrival.hash, caller, arrival.address);
            return None;
        }
        FlowTable::touch(entry, now, info);
        Some(entry.target)
    }

    /// Records a flow's target after a decision.
    pub(super) fn record_flow(
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
        // Only a full table is an error, which can be ignored: an unambiguous
        // flow needs no entry, and the owner checks for space before it places
        // a flow.
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

    /// Counts a packet and appends the action that forwards it to a target.
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

    /// Counts a packet and appends the action that relays it to a member.
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
            view: self.exchange.view_digest,
            known: self.agreement.known(),
            hops: header.map_or(0, |h| h.hops) + 1,
        };
        out.push(Action::Relay { packet, to, header });
    }

    /// Counts an error and appends the action that discards the packet.
    pub(super) fn discard(&mut self, packet: PacketRef, kind: ErrorKind, out: &mut Vec<Action>) {
        self.counters.error(kind);
        out.push(Action::Discard { packet, kind });
    }

    /// Refuses an opening if the error calls for it, and otherwise discards the
    /// packet: a refusal is sent only if no packet of the flow was delivered.
    fn refuse_or_discard(
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

    /// Passes a target's packet on to the caller and records the target: a
    /// target that answers for a flow is that flow's target.
    pub(super) fn handle_target_packet(
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
            return self.discard(packet, ErrorKind::UnexpectedSource, out);
        };
        self.record_opening_answer(now, info, target);
        let hash = hash::flow(&self.hash_key, &info.flow);
        if !self.record_answer(now, info, address, hash, target) {
            return self.discard(packet, ErrorKind::UnexpectedSource, out);
        }
        self.counters.to_callers += 1;
        out.push(Action::ToCaller { packet });
    }

    /// Records an answer; returns whether it may be passed on to the caller.
    ///
    /// A reset from a target other than the flow's own must not reach the
    /// caller. If a member failed recently, it may have placed the flow on
    /// another target; resets from a target that has not answered for the flow
    /// on this member are then dropped too.
    fn record_answer(
        &mut self,
        now: Instant,
        info: &PacketInfo,
        address: AddressKey,
        hash: u64,
        target: TargetKey,
    ) -> bool {
        let caller = &info.flow.caller;
        if !self.guard_enabled(Guard::ResetFilter) && info.kind == PacketKind::Reset {
            return true;
        }
        let unreliable = info.kind == PacketKind::Reset && self.member_failed_recently(now);
        let Some(entry) = self.flows.get_mut(hash, caller, address) else {
            if unreliable {
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
        if unreliable && !entry.flags.contains(FlowFlags::ANSWERED) {
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

/// Returns whether an opening of a remembered flow is a retransmission.
fn is_retransmitted_opening(entry: &FlowEntry, now: Instant) -> bool {
    match entry.state {
        FlowState::Opening => true,
        FlowState::Closed => false,
        FlowState::Established | FlowState::HalfClosed | FlowState::Datagram => {
            FlowTable::idle(entry, now) < OPENING_RETRANSMISSION_WINDOW
        }
    }
}
