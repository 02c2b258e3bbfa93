//! What targets do.

use cicadaweir_core::{catalog::Change, prelude::*};
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{Behaviour, CallerState, Happening, World, event::Packet};

/// After how long a withdrawn target may get no new work.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(3);

/// The pause before an opening's answer is repeated, doubled each time.
const OPENING_ANSWER_PAUSE: Duration = Duration::from_secs(1);

/// The most answers to one opening.
const OPENING_ANSWERS: u32 = 4;

impl World {
    pub(super) fn packet_to_target(&mut self, at: usize, packet: Packet) {
        if self.lost_flows.contains_key(&packet.caller) {
            return;
        }
        let caller = packet.caller;
        let kind = packet.info.kind;
        if matches!(kind, PacketKind::Opening | PacketKind::Datagram) {
            self.delivered(at, caller);
        }
        if !self.targets[at].answers() {
            return;
        }
        match kind {
            PacketKind::Opening => self.open_connection(at, packet),
            PacketKind::Datagram => self.request(at, packet),
            PacketKind::Data if self.is_open_at(at, caller) => {
                self.answer(at, packet, PacketKind::Acknowledgement);
                self.request(at, packet);
            }
            PacketKind::Closing => {
                self.targets[at].open.swap_remove(&caller);
            }
            PacketKind::Data | PacketKind::Acknowledgement if !self.is_open_at(at, caller) => {
                self.answer(at, packet, PacketKind::Reset);
            }
            _ => {}
        }
    }

    /// Returns whether a target takes a caller's data. A second target that
    /// got the opening has another initial sequence number, so that the
    /// caller's acknowledgements are wrong there (RFC 9293, section 3.10.7.4).
    pub(super) fn is_open_at(&self, at: usize, caller: u32) -> bool {
        let with = self.callers[caller as usize].connected;
        self.targets[at].open.contains(&caller) && with == Some(at)
    }

    /// Notes that a flow's first packet reached a target.
    pub(super) fn delivered(&mut self, at: usize, caller: u32) {
        let flow = &mut self.callers[caller as usize];
        let first = flow.delivered_to.insert(at);
        if first && flow.delivered_to.len() == 2 {
            self.measures.opened_twice += 1;
        }
        let withdrawn = self.targets[at].withdrawn;
        if first && withdrawn && self.withdrawn_for(at) > WITHDRAWAL_BOUND {
            self.measures.violate(Invariant::WorkAfterWithdrawal);
        }
    }

    pub(super) fn withdrawn_for(&self, target: usize) -> Duration {
        let name = format!("t{target}");
        let of = |change: &Change| matches!(change, Change::WithdrawTarget { target, .. } if *target == name);
        self.published
            .iter()
            .find(|p| p.note.changes.iter().any(of))
            .map_or(Duration::ZERO, |p| self.now.since(p.at))
    }

    pub(super) fn open_connection(&mut self, at: usize, packet: Packet) {
        let target = &mut self.targets[at];
        let full = target.open.len() >= target.connections as usize;
        if full && !target.open.contains(&packet.caller) {
            return self.answer(at, packet, PacketKind::Reset);
        }
        target.open.insert(packet.caller);
        self.answer(at, packet, PacketKind::OpeningAnswer);
        self.after_opening(at, packet, 1);
    }

    pub(super) fn after_opening(&mut self, target: usize, packet: Packet, tries: u32) {
        let pause = OPENING_ANSWER_PAUSE.times(1 << (tries - 1));
        self.after(
            pause,
            Happening::OpenAgain {
                target,
                packet,
                tries,
            },
        );
    }

    /// Repeats the answer to an opening as kernels do, after 1, 2 and 4 s.
    pub(super) fn open_again(&mut self, at: usize, packet: Packet, tries: u32) {
        let caller = &self.callers[packet.caller as usize];
        let waits = caller.state == CallerState::Opening;
        if waits && self.targets[at].open.contains(&packet.caller) && tries < OPENING_ANSWERS {
            self.answer(at, packet, PacketKind::OpeningAnswer);
            self.after_opening(at, packet, tries + 1);
        }
    }

    /// Queues a request; one that the target has seen already is not run
    /// again, and its answer is repeated.
    pub(super) fn request(&mut self, at: usize, packet: Packet) {
        let key = request_key(at, &packet);
        if let Some(&completed) = self.ran.get(&key) {
            if completed {
                self.answer_request(at, packet);
            }
            return;
        }
        self.ran.insert(key, false);
        let elsewhere = self.callers[packet.caller as usize].delivered_to.len() > 1;
        if elsewhere && self.ran_elsewhere(at, packet) {
            self.measures.violate(Invariant::RanTwice);
        }
        self.targets[at].waiting.push_back(packet);
        self.start_work(at);
    }

    pub(super) fn ran_elsewhere(&self, at: usize, packet: Packet) -> bool {
        let others = &self.callers[packet.caller as usize].delivered_to;
        others.iter().filter(|&&other| other != at).any(|&other| {
            let key = packet.identity << 8 | (other as u64 & 0xff);
            self.ran.contains_key(&key)
        })
    }

    pub(super) fn start_work(&mut self, at: usize) {
        while self.targets[at].busy < self.targets[at].slots {
            let Some(packet) = self.targets[at].waiting.pop_front() else {
                return;
            };
            self.targets[at].busy += 1;
            let mean = self.targets[at].work_time().as_micros();
            let work = mean / 2 + self.random.next_u64() % (mean + 1);
            self.after(
                Duration::from_micros(work),
                Happening::Completed { target: at, packet },
            );
        }
    }

    pub(super) fn completed(&mut self, at: usize, packet: Packet) {
        let target = &mut self.targets[at];
        target.busy = target.busy.saturating_sub(1);
        if target.behaviour == Behaviour::Crashed {
            return;
        }
        target.completed += 1;
        self.ran.insert(request_key(at, &packet), true);
        self.answer_request(at, packet);
        self.start_work(at);
    }

    pub(super) fn answer_request(&mut self, at: usize, packet: Packet) {
        let kind = match packet.info.kind {
            PacketKind::Datagram => PacketKind::Datagram,
            _ => PacketKind::Data,
        };
        self.answer(at, packet, kind);
    }

    /// Sends an answer through any node.
    pub(super) fn answer(&mut self, at: usize, mut packet: Packet, kind: PacketKind) {
        packet.info.kind = kind;
        packet.info.direction = Direction::ToCaller;
        let Some(node) = self.spray() else {
            return;
        };
        let zones = (self.targets[at].zone, self.vms[node].zone);
        if let Some(delay) = self.links.delay(zones.0, zones.1, &mut self.random) {
            self.after(
                delay,
                Happening::Answer {
                    node,
                    packet,
                    target: at,
                },
            );
        }
    }
}

/// Returns the key under which a target remembers a request.
fn request_key(target: usize, packet: &Packet) -> u64 {
    packet.identity << 8 | (target as u64 & 0xff)
}
