//! Behaviour of the callers.

use cicadaweir_core::prelude::*;
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{
    CallerKind, CallerState, SimEvent, World, dispatch::REFUSAL_NUMBER, event::Packet,
    run::SURGE_DEADLINE,
};

/// The most transmissions of an opening or datagram.
const MAX_OPENING_ATTEMPTS: u32 = 6;

/// Attempts after which an acknowledged but unanswered request is
/// retransmitted. The answer may be lost, and the simulated targets resend it
/// only when they receive the request again.
const RESEND_AFTER_ATTEMPTS: u32 = 2;

/// How long a request on an open flow may stay unanswered before its caller
/// counts the flow as broken.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(30);

impl World {
    /// Sends a caller's packet to a random node.
    pub(super) fn send_to_service(&mut self, caller: u32, kind: PacketKind, identity: u64) {
        let info = PacketInfo {
            flow: self.callers[caller as usize].flow,
            direction: Direction::ToTarget,
            kind,
            sequence: identity as u32,
            bytes: 100,
        };
        let packet = Packet {
            caller,
            info,
            identity,
            number: 0,
        };
        let Some(node) = self.pick_ingress_node() else {
            return;
        };
        self.schedule_after(
            self.options.caller_delay,
            SimEvent::ToNode {
                node,
                packet,
                header: None,
            },
        );
    }

    /// Advances a caller whose timer has expired: sends its opening, its next
    /// request or a retransmission, or gives up.
    pub(super) fn advance_caller(&mut self, index: u32) {
        let caller = &mut self.callers[index as usize];
        match caller.state {
            CallerState::NotStarted => {
                caller.step_started_at = self.now;
                caller.attempts = 1;
                caller.state = match caller.kind {
                    CallerKind::Booking => CallerState::AwaitingAnswer,
                    _ => CallerState::Opening,
                };
                caller.in_surge = self.surge_start.is_some_and(|from| self.now >= from);
                self.send_opening_packet(index);
            }
            CallerState::Opening => self.retransmit(index),
            CallerState::Idle if self.now >= caller.next_request_at => {
                caller.requests_sent += 1;
                caller.acknowledged = false;
                caller.step_started_at = self.now;
                caller.attempts = 1;
                caller.state = CallerState::AwaitingAnswer;
                let identity = caller.identity(index);
                self.send_to_service(index, PacketKind::Data, identity);
                self.schedule_retry(index);
            }
            CallerState::AwaitingAnswer => self.retransmit(index),
            _ => {}
        }
    }

    pub(super) fn send_opening_packet(&mut self, index: u32) {
        let caller = &self.callers[index as usize];
        match caller.kind {
            CallerKind::Booking => {
                let identity = caller.identity(index);
                self.send_to_service(index, PacketKind::Datagram, identity);
            }
            _ => self.send_to_service(index, PacketKind::Opening, 0),
        }
        self.schedule_retry(index);
    }

    pub(super) fn schedule_retry(&mut self, index: u32) {
        let delay = self.callers[index as usize].retry_delay();
        self.schedule_after(delay, SimEvent::Caller { caller: index });
    }

    pub(super) fn retransmit(&mut self, index: u32) {
        let caller = &mut self.callers[index as usize];
        let waited = self.now.since(caller.step_started_at);
        if waited < caller.retry_delay() {
            return;
        }
        let opening = caller.state == CallerState::Opening || caller.kind == CallerKind::Booking;
        if opening && caller.attempts >= MAX_OPENING_ATTEMPTS {
            caller.state = CallerState::Unanswered;
            self.measures.unanswered += 1;
            return;
        }
        if !opening && waited >= STALL_TIMEOUT {
            caller.state = CallerState::Broken;
            self.count_broken(index);
            return;
        }
        caller.attempts += 1;
        if opening {
            return self.send_opening_packet(index);
        }
        let identity = caller.identity(index);
        if !caller.acknowledged || caller.attempts > RESEND_AFTER_ATTEMPTS {
            self.send_to_service(index, PacketKind::Data, identity);
        }
        self.schedule_retry(index);
    }

    pub(super) fn packet_to_caller(&mut self, packet: Packet, target: Option<usize>) {
        let index = packet.caller;
        let now = self.now;
        let caller = &mut self.callers[index as usize];
        if packet.info.flow != caller.flow {
            self.measures.record_violation(Invariant::WrongAnswer);
            return;
        }
        match (packet.info.kind, caller.state) {
            (PacketKind::Reset, CallerState::Opening) => {
                caller.state = CallerState::Refused;
                self.measures.refused += 1;
                let by_node = target.is_none();
                if by_node && !self.callers[index as usize].delivered_to.is_empty() {
                    self.measures
                        .record_violation(Invariant::RefusedAfterDelivery);
                }
            }
            // A reset that refuses an opening carries sequence number 0, which
            // an established flow ignores (RFC 9293, section 3.10.7.4).
            (PacketKind::Reset, _) if packet.number == REFUSAL_NUMBER => {}
            (PacketKind::Reset, CallerState::Idle | CallerState::AwaitingAnswer) => {
                caller.state = CallerState::Broken;
                if self.lost_flows.contains_key(&index) {
                    self.measures.resets += 1;
                } else {
                    self.count_broken(index);
                }
            }
            (PacketKind::OpeningAnswer, CallerState::Opening) => {
                caller.state = CallerState::Idle;
                caller.opened_at = Some(now);
                caller.connected_target = target;
                self.measures.opened += 1;
                self.send_to_service(index, PacketKind::Acknowledgement, 0);
                self.schedule_at(now, SimEvent::Caller { caller: index });
            }
            (PacketKind::Acknowledgement, CallerState::AwaitingAnswer) => {
                caller.acknowledged = true
            }
            (PacketKind::Data | PacketKind::Datagram, CallerState::AwaitingAnswer) => {
                self.handle_answer(index, packet);
            }
            _ => {}
        }
    }

    pub(super) fn count_broken(&mut self, index: u32) {
        self.measures.broken += 1;
        self.measures.broken_callers.push(index);
    }

    pub(super) fn handle_answer(&mut self, index: u32, packet: Packet) {
        let now = self.now;
        let caller = &mut self.callers[index as usize];
        if packet.identity != caller.identity(index) {
            return;
        }
        let took = now.since(caller.step_started_at);
        let in_surge = caller.in_surge;
        self.measures.answered += 1;
        self.measures
            .request_times
            .saturating_record(took.as_micros());
        if in_surge && took <= SURGE_DEADLINE && caller.requests_sent <= 1 {
            self.measures.served_in_surge += 1;
        }
        match caller.kind {
            CallerKind::Board { request_interval } => {
                caller.state = CallerState::Idle;
                let mean = request_interval.as_micros();
                let next = mean / 2 + self.random.next_u64() % (mean + 1);
                let delay = Duration::from_micros(next);
                caller.next_request_at = now + delay;
                self.schedule_after(delay, SimEvent::Caller { caller: index });
            }
            CallerKind::Visit => {
                caller.state = CallerState::Done;
                self.send_to_service(index, PacketKind::Closing, 0);
            }
            CallerKind::Booking => {
                caller.state = CallerState::Done;
                self.measures.opened += 1;
            }
        }
    }
}
