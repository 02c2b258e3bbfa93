//! Packets that wait for lookups of their flow at other members.
//!
//! A flow that this member doesn't know may be known to members that forwarded
//! its earlier packets. Its packets are buffered while those members are queried.

use indexmap::{IndexMap, IndexSet};

use crate::{
    flow::{FlowFlags, FlowTable, Protocol},
    membership::slot_of,
    message::{FlowRecord, Message},
    prelude::*,
    route::{BucketRoute, Decision, Reason},
};

use super::{Node, placing::Arrival, silence::SuspectedFlow};

/// The maximum number of waiting packets of one flow.
const MAX_PACKETS_PER_FLOW: usize = 4;

/// The maximum number of members that are queried about one flow.
pub(super) const MAX_QUERIED_MEMBERS: usize = 8;

/// The wire size of one lookup, in bytes.
const LOOKUP_BYTES: f64 = 40.0;

/// One flow whose packets wait for a lookup.
#[derive(Debug, Clone)]
struct PendingLookup {
    packets: Vec<PacketRef>,
    info: PacketInfo,
    arrival: Arrival,
    /// The queried members that have not answered yet.
    outstanding: IndexSet<MemberId>,
    /// When the packets are discarded unless all members have answered.
    deadline: Instant,
}

/// Pending lookups, and flows whose target is suspected or confirmed to be silent.
///
/// The maps are keyed by the keyed hash of the flow.
#[derive(Debug, Clone, Default)]
pub(super) struct Lookups {
    pending: IndexMap<u64, PendingLookup>,
    pub(super) suspected_flows: IndexMap<u64, SuspectedFlow>,
    /// The silent target of each flow whose caller's next packet is answered by a
    /// reset, and when the flow was marked.
    pub(super) to_reset: IndexMap<u64, (TargetKey, Instant)>,
    /// Bytes that may be spent on lookups now.
    budget: f64,
    budget_refilled_at: Instant,
}

impl Node {
    /// Buffers a packet and queries the other members about its flow.
    pub(super) fn start_lookup(
        &mut self,
        now: Instant,
        packet: PacketRef,
        info: &PacketInfo,
        arrival: &Arrival,
        out: &mut Vec<Action>,
    ) {
        if let Some(lookup) = self.lookups.pending.get_mut(&arrival.hash) {
            if lookup.packets.len() >= MAX_PACKETS_PER_FLOW {
                return self.discard(packet, ErrorKind::QueueFull, out);
            }
            lookup.packets.push(packet);
            out.push(Action::Buffer { packet });
            return;
        }
        let outstanding = self.peers_to_query(info, arrival);
        if outstanding.is_empty() {
            return self.place_unknown_flow(now, vec![packet], info, arrival, out);
        }
        let full = self.lookups.pending.len() >= self.options.max_pending_lookups;
        if full || !self.try_spend_lookup_budget(now, outstanding.len()) {
            return self.discard(packet, ErrorKind::QueueFull, out);
        }
        self.send_lookups(&outstanding, arrival.hash, out);
        out.push(Action::Buffer { packet });
        let lookup = PendingLookup {
            packets: vec![packet],
            info: *info,
            arrival: *arrival,
            outstanding,
            deadline: now + self.options.lookup_timeout,
        };
        self.lookups.pending.insert(arrival.hash, lookup);
    }

    /// Returns the members to query about a packet's flow. For TCP these are the
    /// members that know the exceptions of its slot, if those are incomplete here;
    /// otherwise all lookup peers.
    fn peers_to_query(&self, info: &PacketInfo, arrival: &Arrival) -> IndexSet<MemberId> {
        let seed = self.catalog.service(arrival.service).seed;
        let slot = slot_of(seed, arrival.bucket);
        match self.recovery.sources_of(slot) {
            Some(members) if info.flow.protocol == Protocol::Tcp => {
                let ids = members.iter().copied();
                ids.filter(|&id| self.is_reachable(id)).collect()
            }
            _ => self.lookup_peers(),
        }
    }

    /// Returns the reachable members that may have forwarded packets of a flow, at
    /// most [`MAX_QUERIED_MEMBERS`].
    pub(super) fn lookup_peers(&self) -> IndexSet<MemberId> {
        let peers = self.view.peers().filter(|m| m.has_announced());
        peers
            .map(|m| m.record.id)
            .take(MAX_QUERIED_MEMBERS)
            .collect()
    }

    /// Sends a lookup of a flow to each member of `to`.
    pub(super) fn send_lookups(
        &mut self,
        to: &IndexSet<MemberId>,
        flow_hash: u64,
        out: &mut Vec<Action>,
    ) {
        for &to in to {
            self.send(to, Message::Lookup { flow_hash }, out);
        }
    }

    /// Takes the bytes for `count` lookups from the budget; returns whether it
    /// sufficed.
    pub(super) fn try_spend_lookup_budget(&mut self, now: Instant, count: usize) -> bool {
        let rate = f64::from(self.options.lookup_bytes_per_sec);
        let lookups = &mut self.lookups;
        let gained = rate * now.since(lookups.budget_refilled_at).as_secs_f64();
        lookups.budget = (lookups.budget + gained).min(rate);
        lookups.budget_refilled_at = now;
        let cost = LOOKUP_BYTES * count as f64;
        let affordable = lookups.budget >= cost;
        if affordable {
            lookups.budget -= cost;
        }
        affordable
    }

    /// Answers another member's lookup.
    pub(super) fn answer_lookup(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        out: &mut Vec<Action>,
    ) {
        let record = self.flow_record(now, flow_hash);
        self.send(from, Message::LookupAnswer { flow_hash, record }, out);
    }

    /// Returns this member's record of a flow, from the flow table or the fetched
    /// exceptions.
    fn flow_record(&self, now: Instant, flow_hash: u64) -> Option<FlowRecord> {
        if let Some(entry) = self.flows.get_by_hash(flow_hash) {
            return Some(FlowRecord {
                target: entry.target,
                target_silence: FlowTable::target_silence(entry, now),
                unanswered: entry.flags.contains(FlowFlags::UNANSWERED),
            });
        }
        let target = self.recovery.fetched_target(flow_hash)?;
        Some(FlowRecord {
            target,
            target_silence: self.options.expiry.established,
            unanswered: false,
        })
    }

    /// Processes the answer to a lookup. PendingLookup packets are forwarded as soon
    /// as one member knows the target, or placed once all have answered that
    /// they don't.
    pub(super) fn handle_lookup_answer(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        record: Option<FlowRecord>,
        out: &mut Vec<Action>,
    ) {
        self.update_suspected_flow(now, from, flow_hash, record, out);
        let Some(lookup) = self.lookups.pending.get_mut(&flow_hash) else {
            return;
        };
        lookup.outstanding.swap_remove(&from);
        let target = record.map(|r| r.target);
        let same_service = |t: TargetKey| self.catalog.target(t).service == lookup.arrival.service;
        let known = |t: &TargetKey| (t.0 as usize) < self.targets.len() && same_service(*t);
        if let Some(target) = target.filter(known) {
            let lookup = self.lookups.pending.swap_remove(&flow_hash);
            if let Some(lookup) = lookup {
                self.counters.recalled += 1;
                self.forward_pending(now, lookup, target, Reason::Recalled, out);
            }
            return;
        }
        if lookup.outstanding.is_empty() {
            if let Some(l) = self.lookups.pending.swap_remove(&flow_hash) {
                self.place_unknown_flow(now, l.packets, &l.info, &l.arrival, out);
            }
        }
    }

    /// Records a flow's target and forwards its waiting packets.
    fn forward_pending(
        &mut self,
        now: Instant,
        lookup: PendingLookup,
        target: TargetKey,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.record_flow(now, &lookup.info, &lookup.arrival, target, reason);
        for packet in lookup.packets {
            self.forward(packet, target, reason, out);
        }
    }

    /// Places a flow that no queried member remembers: a TCP flow was placed by
    /// the base generation, a UDP flow is new.
    fn place_unknown_flow(
        &mut self,
        now: Instant,
        packets: Vec<PacketRef>,
        info: &PacketInfo,
        arrival: &Arrival,
        out: &mut Vec<Action>,
    ) {
        let service = self.catalog.service(arrival.service);
        let agreed = self.agreement.agreed();
        let bucket_route = BucketRoute::new(service, arrival.bucket, agreed, |slot| {
            self.slots.owner(slot)
        });
        let decision = match info.flow.protocol {
            Protocol::Tcp => Decision::Target(bucket_route.base, Reason::Base),
            Protocol::Udp => self.place_datagram(now, arrival, &bucket_route),
        };
        match decision {
            Decision::Target(target, reason) => {
                self.record_flow(now, info, arrival, target, reason);
                for packet in packets {
                    self.forward(packet, target, reason, out);
                }
            }
            Decision::Error(kind) => {
                for packet in packets {
                    self.discard(packet, kind, out);
                }
            }
            Decision::Owner(_) | Decision::Ask => {
                unreachable!("placing an unknown flow yields a target or an error")
            }
        }
    }

    /// Discards the packets of lookups that timed out. They are not placed,
    /// because a member that did not answer may remember the flow.
    pub(super) fn tick_lookups(&mut self, now: Instant, out: &mut Vec<Action>) {
        let timed_out: Vec<u64> = self
            .lookups
            .pending
            .iter()
            .filter(|(_, l)| now >= l.deadline)
            .map(|(&hash, _)| hash)
            .collect();
        for hash in timed_out {
            let Some(lookup) = self.lookups.pending.swap_remove(&hash) else {
                continue;
            };
            for packet in lookup.packets {
                self.discard(packet, ErrorKind::LookupTimeout, out);
            }
        }
    }
}
