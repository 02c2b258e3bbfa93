//! Packets that wait until the other members have said what they remember.

use indexmap::{IndexMap, IndexSet};

use crate::{
    flow::{FlowFlags, FlowTable, Protocol},
    membership::slot_of,
    message::{FlowMemory, Message},
    prelude::*,
    route::{BucketRoute, Decision, Reason},
};

use super::{Node, placing::Arrival, silence::Suspicion};

/// The most packets of one flow that wait.
const MOST_PACKETS: usize = 4;

/// The most members that are asked about one flow.
pub(super) const MOST_ASKED: usize = 8;

/// The size of one lookup on the wire, in bytes.
const LOOKUP_BYTES: f64 = 40.0;

/// One flow whose packets wait.
#[derive(Debug, Clone)]
struct Waiting {
    packets: Vec<PacketRef>,
    info: PacketInfo,
    arrival: Arrival,
    asked: IndexSet<MemberId>,
    deadline: Instant,
}

/// The flows whose packets wait, and the flows that seem silent.
#[derive(Debug, Clone, Default)]
pub(super) struct Lookups {
    waiting: IndexMap<u64, Waiting>,
    pub(super) suspicions: IndexMap<u64, Suspicion>,
    /// Flows whose target went silent, and since when that is known.
    pub(super) broken: IndexMap<u64, (TargetKey, Instant)>,
    budget: f64,
    budget_at: Instant,
}

impl Node {
    /// Keeps a packet and asks the other members about its flow.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        packet: PacketRef,
        info: &PacketInfo,
        arrival: &Arrival,
        out: &mut Vec<Action>,
    ) {
        if let Some(waiting) = self.lookups.waiting.get_mut(&arrival.hash) {
            if waiting.packets.len() >= MOST_PACKETS {
                return self.discard(packet, ErrorKind::QueueFull, out);
            }
            waiting.packets.push(packet);
            out.push(Action::Hold { packet });
            return;
        }
        let asked = self.knowing(info, arrival);
        if asked.is_empty() {
            return self.nobody_remembers(now, vec![packet], info, arrival, out);
        }
        let full = self.lookups.waiting.len() >= self.options.most_lookups;
        if full || !self.spend_lookup(now, asked.len()) {
            return self.discard(packet, ErrorKind::QueueFull, out);
        }
        self.send_lookups(&asked, arrival.hash, out);
        out.push(Action::Hold { packet });
        let waiting = Waiting {
            packets: vec![packet],
            info: *info,
            arrival: *arrival,
            asked,
            deadline: now + self.options.lookup_timeout,
        };
        self.lookups.waiting.insert(arrival.hash, waiting);
    }

    /// Returns the members to ask about a packet's flow: those who know the
    /// exceptions of its slot, or everybody about a datagram.
    fn knowing(&self, info: &PacketInfo, arrival: &Arrival) -> IndexSet<MemberId> {
        let seed = self.catalog.service(arrival.service).seed;
        let slot = slot_of(seed, arrival.bucket);
        match self.recovery.knowing(slot) {
            Some(members) if info.flow.protocol == Protocol::Tcp => {
                let each = members.iter().copied();
                each.filter(|&id| self.answers(id)).collect()
            }
            _ => self.witnesses(),
        }
    }

    /// Returns the members to ask about a flow.
    pub(super) fn witnesses(&self) -> IndexSet<MemberId> {
        let peers = self.view.peers().filter(|m| m.has_announced());
        peers.map(|m| m.record.id).take(MOST_ASKED).collect()
    }

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

    /// Takes the bytes for `count` lookups from the budget, if it has them.
    pub(super) fn spend_lookup(&mut self, now: Instant, count: usize) -> bool {
        let rate = f64::from(self.options.lookup_rate);
        let lookups = &mut self.lookups;
        let gained = rate * now.since(lookups.budget_at).as_secs_f64();
        lookups.budget = (lookups.budget + gained).min(rate);
        lookups.budget_at = now;
        let cost = LOOKUP_BYTES * count as f64;
        let affordable = lookups.budget >= cost;
        if affordable {
            lookups.budget -= cost;
        }
        affordable
    }

    pub(super) fn answer_lookup(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        out: &mut Vec<Action>,
    ) {
        let memory = self.recall(now, flow_hash);
        self.send(from, Message::LookupAnswer { flow_hash, memory }, out);
    }

    fn recall(&self, now: Instant, flow_hash: u64) -> Option<FlowMemory> {
        if let Some(entry) = self.flows.get_by_hash(flow_hash) {
            return Some(FlowMemory {
                target: entry.target,
                target_silence: FlowTable::target_silence(entry, now),
                unanswered: entry.flags.contains(FlowFlags::UNANSWERED),
            });
        }
        let target = self.recovery.handed_over(flow_hash)?;
        Some(FlowMemory {
            target,
            target_silence: self.options.expiry.established,
            unanswered: false,
        })
    }

    pub(super) fn lookup_answered(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        memory: Option<FlowMemory>,
        out: &mut Vec<Action>,
    ) {
        self.suspicion_answered(now, from, flow_hash, memory, out);
        let Some(waiting) = self.lookups.waiting.get_mut(&flow_hash) else {
            return;
        };
        waiting.asked.swap_remove(&from);
        let target = memory.map(|m| m.target);
        let fits = |t: TargetKey| self.catalog.target(t).service == waiting.arrival.service;
        let known = |t: &TargetKey| (t.0 as usize) < self.targets.len() && fits(*t);
        if let Some(target) = target.filter(known) {
            let waiting = self.lookups.waiting.swap_remove(&flow_hash);
            if let Some(waiting) = waiting {
                self.counters.recalled += 1;
                self.release(now, waiting, target, Reason::Recalled, out);
            }
            return;
        }
        if waiting.asked.is_empty() {
            if let Some(w) = self.lookups.waiting.swap_remove(&flow_hash) {
                self.nobody_remembers(now, w.packets, &w.info, &w.arrival, out);
            }
        }
    }

    fn release(
        &mut self,
        now: Instant,
        waiting: Waiting,
        target: TargetKey,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.remember(now, &waiting.info, &waiting.arrival, target, reason);
        for packet in waiting.packets {
            self.forward(packet, target, reason, out);
        }
    }

    /// Every other member has said that it does not remember the flow: a TCP
    /// flow was placed by the base generation, a UDP flow is new.
    fn nobody_remembers(
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
                self.remember(now, info, arrival, target, reason);
                for packet in packets {
                    self.forward(packet, target, reason, out);
                }
            }
            Decision::Error(kind) => {
                for packet in packets {
                    self.discard(packet, kind, out);
                }
            }
            Decision::Owner(_) | Decision::Ask => unreachable!("placing never asks"),
        }
    }

    /// Gives up on flows whose members did not all answer in time: what they
    /// would have said is not guessed.
    pub(super) fn tick_lookups(&mut self, now: Instant, out: &mut Vec<Action>) {
        let late: Vec<u64> = self
            .lookups
            .waiting
            .iter()
            .filter(|(_, w)| now >= w.deadline)
            .map(|(&hash, _)| hash)
            .collect();
        for hash in late {
            let Some(waiting) = self.lookups.waiting.swap_remove(&hash) else {
                continue;
            };
            for packet in waiting.packets {
                self.discard(packet, ErrorKind::LookupTimeout, out);
            }
        }
    }
}
