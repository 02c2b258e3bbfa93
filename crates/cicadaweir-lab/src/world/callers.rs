//! What callers do.

use cicadaweir_core::prelude::*;
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{
    CallerKind, CallerState, Happening, World, act::REFUSAL, event::Packet, run::SURGE_DEADLINE,
};

/// Tries of an opening or datagram.
const OPENING_TRIES: u32 = 6;

/// Tries after which an acknowledged request whose answer does not come is
/// sent again: the answer may be lost, and the lab's targets repeat it only
/// when they are asked.
const ACKNOWLEDGED_TRIES: u32 = 2;

/// How long an open flow may make no progress before its caller gives up.
pub(super) const STALL_LIMIT: Duration = Duration::from_secs(30);

impl World {
    /// Sends a caller's packet to any node.
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
        let Some(node) = self.spray() else {
            return;
        };
        self.after(
            self.options.caller_delay,
            Happening::ToNode {
                node,
                packet,
                header: None,
            },
        );
    }

    /// Does what is due for a caller: arrives, asks, repeats or gives up.
    pub(super) fn caller_step(&mut self, index: u32) {
        let caller = &mut self.callers[index as usize];
        match caller.state {
            CallerState::Away => {
                caller.since = self.now;
                caller.tries = 1;
                caller.state = match caller.kind {
                    CallerKind::Booking => CallerState::Waiting,
                    _ => CallerState::Opening,
                };
                caller.in_surge = self.surge_from.is_some_and(|from| self.now >= from);
                self.send_first(index);
            }
            CallerState::Opening => self.repeat(index),
            CallerState::Quiet if self.now >= caller.due => {
                caller.asked += 1;
                caller.acknowledged = false;
                caller.since = self.now;
                caller.tries = 1;
                caller.state = CallerState::Waiting;
                let identity = caller.identity(index);
                self.send_to_service(index, PacketKind::Data, identity);
                self.wake(index);
            }
            CallerState::Waiting => self.repeat(index),
            _ => {}
        }
    }

    pub(super) fn send_first(&mut self, index: u32) {
        let caller = &self.callers[index as usize];
        match caller.kind {
            CallerKind::Booking => {
                let identity = caller.identity(index);
                self.send_to_service(index, PacketKind::Datagram, identity);
            }
            _ => self.send_to_service(index, PacketKind::Opening, 0),
        }
        self.wake(index);
    }

    pub(super) fn wake(&mut self, index: u32) {
        let pause = self.callers[index as usize].retry_pause();
        self.after(pause, Happening::Caller { caller: index });
    }

    pub(super) fn repeat(&mut self, index: u32) {
        let caller = &mut self.callers[index as usize];
        let waited = self.now.since(caller.since);
        if waited < caller.retry_pause() {
            return;
        }
        let opening = caller.state == CallerState::Opening || caller.kind == CallerKind::Booking;
        if opening && caller.tries >= OPENING_TRIES {
            caller.state = CallerState::Unanswered;
            self.measures.unanswered += 1;
            return;
        }
        if !opening && waited >= STALL_LIMIT {
            caller.state = CallerState::Broken;
            self.count_broken(index);
            return;
        }
        caller.tries += 1;
        if opening {
            return self.send_first(index);
        }
        let identity = caller.identity(index);
        if !caller.acknowledged || caller.tries > ACKNOWLEDGED_TRIES {
            self.send_to_service(index, PacketKind::Data, identity);
        }
        self.wake(index);
    }

    pub(super) fn packet_to_caller(&mut self, packet: Packet, target: Option<usize>) {
        let index = packet.caller;
        let now = self.now;
        let caller = &mut self.callers[index as usize];
        if packet.info.flow != caller.flow {
            self.measures.violate(Invariant::WrongAnswer);
            return;
        }
        match (packet.info.kind, caller.state) {
            (PacketKind::Reset, CallerState::Opening) => {
                caller.state = CallerState::Refused;
                self.measures.refused += 1;
                let by_node = target.is_none();
                if by_node && !self.callers[index as usize].delivered_to.is_empty() {
                    self.measures.violate(Invariant::RefusedAfterDelivery);
                }
            }
            // The reset that refuses an opening has the sequence number 0,
            // which an established flow ignores (RFC 9293, section 3.10.7.4).
            (PacketKind::Reset, _) if packet.number == REFUSAL => {}
            (PacketKind::Reset, CallerState::Quiet | CallerState::Waiting) => {
                caller.state = CallerState::Broken;
                if self.lost_flows.contains_key(&index) {
                    self.measures.resets += 1;
                } else {
                    self.count_broken(index);
                }
            }
            (PacketKind::OpeningAnswer, CallerState::Opening) => {
                caller.state = CallerState::Quiet;
                caller.opened = Some(now);
                caller.connected = target;
                self.measures.opened += 1;
                self.send_to_service(index, PacketKind::Acknowledgement, 0);
                self.at(now, Happening::Caller { caller: index });
            }
            (PacketKind::Acknowledgement, CallerState::Waiting) => caller.acknowledged = true,
            (PacketKind::Data | PacketKind::Datagram, CallerState::Waiting) => {
                self.answered(index, packet);
            }
            _ => {}
        }
    }

    pub(super) fn count_broken(&mut self, index: u32) {
        self.measures.broken += 1;
        self.measures.broken_callers.push(index);
    }

    pub(super) fn answered(&mut self, index: u32, packet: Packet) {
        let now = self.now;
        let caller = &mut self.callers[index as usize];
        if packet.identity != caller.identity(index) {
            return;
        }
        let took = now.since(caller.since);
        let in_surge = caller.in_surge;
        self.measures.answered += 1;
        self.measures.times.saturating_record(took.as_micros());
        if in_surge && took <= SURGE_DEADLINE && caller.asked <= 1 {
            self.measures.good_in_surge += 1;
        }
        match caller.kind {
            CallerKind::Board { pause } => {
                caller.state = CallerState::Quiet;
                let mean = pause.as_micros();
                let next = mean / 2 + self.random.next_u64() % (mean + 1);
                let pause = Duration::from_micros(next);
                caller.due = now + pause;
                self.after(pause, Happening::Caller { caller: index });
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
