//! Behaviour of the targets.

use cicadaweir_core::{catalog::Change, prelude::*};
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{Behaviour, CallerState, SimEvent, World, event::Packet};

/// How long after its withdrawal is published a target may still receive new
/// flows.
const WITHDRAWAL_GRACE: Duration = Duration::from_secs(3);

/// The delay before the first retransmission of an opening's answer, doubled
/// each time.
const OPENING_ANSWER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The most transmissions of the answer to one opening.
const MAX_OPENING_ANSWERS: u32 = 4;

impl World {
    pub(super) fn packet_to_target(&mut self, index: usize, packet: Packet) {
        if self.lost_flows.contains_key(&packet.caller) {
            return;
        }
        let caller = packet.caller;
        let kind = packet.info.kind;
        if matches!(kind, PacketKind::Opening | PacketKind::Datagram) {
            self.record_delivery(index, caller);
        }
        if !self.targets[index].is_responding() {
            return;
        }
        match kind {
            PacketKind::Opening => self.open_connection(index, packet),
            PacketKind::Datagram => self.handle_request(index, packet),
            PacketKind::Data if self.is_open_at(index, caller) => {
                self.answer(index, packet, PacketKind::Acknowledgement);
                self.handle_request(index, packet);
            }
            PacketKind::Closing => {
                self.targets[index].open_connections.swap_remove(&caller);
            }
            PacketKind::Data | PacketKind::Acknowledgement if !self.is_open_at(index, caller) => {
                self.answer(index, packet, PacketKind::Reset);
            }
            _ => {}
        }
    }

    /// Returns whether a target accepts a caller's data. A second target that
    /// received the opening has another initial sequence number, so that the
    /// caller's acknowledgements are invalid there (RFC 9293, section
    /// 3.10.7.4).
    pub(super) fn is_open_at(&self, index: usize, caller: u32) -> bool {
        let connected = self.callers[caller as usize].connected_target;
        self.targets[index].open_connections.contains(&caller) && connected == Some(index)
    }

    /// Records that the opening or datagram of a flow reached a target.
    pub(super) fn record_delivery(&mut self, index: usize, caller: u32) {
        let flow = &mut self.callers[caller as usize];
        let first = flow.delivered_to.insert(index);
        if first && flow.delivered_to.len() == 2 {
            self.measures.opened_twice += 1;
        }
        let withdrawn = self.targets[index].withdrawn;
        if first && withdrawn && self.time_since_withdrawal(index) > WITHDRAWAL_GRACE {
            self.measures
                .record_violation(Invariant::WorkAfterWithdrawal);
        }
    }

    /// Returns the time since a target's withdrawal was published, zero if it
    /// was not withdrawn.
    pub(super) fn time_since_withdrawal(&self, target: usize) -> Duration {
        let name = format!("t{target}");
        let withdraws = |change: &Change| matches!(change, Change::WithdrawTarget { target, .. } if *target == name);
        self.published
            .iter()
            .find(|p| p.note.changes.iter().any(withdraws))
            .map_or(Duration::ZERO, |p| self.now.since(p.published_at))
    }

    pub(super) fn open_connection(&mut self, index: usize, packet: Packet) {
        let target = &mut self.targets[index];
        let full = target.open_connections.len() >= target.max_connections as usize;
        if full && !target.open_connections.contains(&packet.caller) {
            return self.answer(index, packet, PacketKind::Reset);
        }
        target.open_connections.insert(packet.caller);
        self.answer(index, packet, PacketKind::OpeningAnswer);
        self.schedule_opening_answer_retry(index, packet, 1);
    }

    pub(super) fn schedule_opening_answer_retry(
        &mut self,
        target: usize,
        packet: Packet,
        attempts: u32,
    ) {
        let delay = OPENING_ANSWER_RETRY_DELAY.times(1 << (attempts - 1));
        self.schedule_after(
            delay,
            SimEvent::RetransmitOpeningAnswer {
                target,
                packet,
                attempts,
            },
        );
    }

    /// Retransmits the answer to an opening after 1, 2 and 4 s, as kernels do,
    /// while the caller has not received it.
    pub(super) fn retransmit_opening_answer(
        &mut self,
        index: usize,
        packet: Packet,
        attempts: u32,
    ) {
        let caller = &self.callers[packet.caller as usize];
        let unanswered = caller.state == CallerState::Opening;
        if unanswered
            && self.targets[index]
                .open_connections
                .contains(&packet.caller)
            && attempts < MAX_OPENING_ANSWERS
        {
            self.answer(index, packet, PacketKind::OpeningAnswer);
            self.schedule_opening_answer_retry(index, packet, attempts + 1);
        }
    }

    /// Queues a request. A request that the target has received before does not
    /// run again; once it is completed, its answer is resent.
    pub(super) fn handle_request(&mut self, index: usize, packet: Packet) {
        let key = request_key(index, &packet);
        if let Some(&completed) = self.seen_requests.get(&key) {
            if completed {
                self.answer_request(index, packet);
            }
            return;
        }
        self.seen_requests.insert(key, false);
        let several_targets = self.callers[packet.caller as usize].delivered_to.len() > 1;
        if several_targets && self.seen_by_other_target(index, packet) {
            self.measures.record_violation(Invariant::RanTwice);
        }
        self.targets[index].queue.push_back(packet);
        self.start_queued_requests(index);
    }

    /// Returns whether another target has received the same request.
    pub(super) fn seen_by_other_target(&self, index: usize, packet: Packet) -> bool {
        let others = &self.callers[packet.caller as usize].delivered_to;
        others
            .iter()
            .filter(|&&other| other != index)
            .any(|&other| {
                let key = packet.identity << 8 | (other as u64 & 0xff);
                self.seen_requests.contains_key(&key)
            })
    }

    /// Starts queued requests while slots are free.
    pub(super) fn start_queued_requests(&mut self, index: usize) {
        while self.targets[index].busy_slots < self.targets[index].slots {
            let Some(packet) = self.targets[index].queue.pop_front() else {
                return;
            };
            self.targets[index].busy_slots += 1;
            let mean = self.targets[index].service_time().as_micros();
            let work = mean / 2 + self.random.next_u64() % (mean + 1);
            self.schedule_after(
                Duration::from_micros(work),
                SimEvent::Completed {
                    target: index,
                    packet,
                },
            );
        }
    }

    pub(super) fn complete_request(&mut self, index: usize, packet: Packet) {
        let target = &mut self.targets[index];
        target.busy_slots = target.busy_slots.saturating_sub(1);
        if target.behaviour == Behaviour::Crashed {
            return;
        }
        target.completed += 1;
        self.seen_requests.insert(request_key(index, &packet), true);
        self.answer_request(index, packet);
        self.start_queued_requests(index);
    }

    pub(super) fn answer_request(&mut self, index: usize, packet: Packet) {
        let kind = match packet.info.kind {
            PacketKind::Datagram => PacketKind::Datagram,
            _ => PacketKind::Data,
        };
        self.answer(index, packet, kind);
    }

    /// Sends an answer to the caller through a random node.
    pub(super) fn answer(&mut self, index: usize, mut packet: Packet, kind: PacketKind) {
        packet.info.kind = kind;
        packet.info.direction = Direction::ToCaller;
        let Some(node) = self.pick_ingress_node() else {
            return;
        };
        let zones = (self.targets[index].zone, self.vms[node].zone);
        if let Some(delay) = self.links.delay(zones.0, zones.1, &mut self.random) {
            self.schedule_after(
                delay,
                SimEvent::Answer {
                    node,
                    packet,
                    target: index,
                },
            );
        }
    }
}

/// Returns the key of a request at a target in `World::seen_requests`.
fn request_key(target: usize, packet: &Packet) -> u64 {
    packet.identity << 8 | (target as u64 & 0xff)
}
