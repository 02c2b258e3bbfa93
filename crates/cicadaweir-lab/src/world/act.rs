//! What each happening does.

use cicadaweir_core::{membership::Phase, message::Message, node, prelude::*, route::RelayHeader};
use cicadaweir_proto::{codec, trace::EventRecord};
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{Fault, Happening, World, event::Packet};

/// How long a node that has left still forwards.
const QUIET_STOP: Duration = Duration::from_millis(2_500);

/// The delay of a probe and its answer.
const PROBE_DELAY: Duration = Duration::from_millis(12);

/// The packet number of a reset that refuses an opening.
pub(super) const REFUSAL: u32 = 1;

impl World {
    pub(super) fn happen(&mut self, what: Happening) {
        self.log(&what);
        match what {
            Happening::Tick { node, life } => self.tick(node, life),
            Happening::ToNode {
                node,
                packet,
                header,
            } => self.packet_to_node(node, packet, header),
            Happening::Answer {
                node,
                packet,
                target,
            } => self.answer_to_node(node, packet, target),
            Happening::ToTarget { target, packet } => self.packet_to_target(target, packet),
            Happening::ToCaller { packet, target } => self.packet_to_caller(packet, target),
            Happening::Message {
                node,
                from,
                message,
            } => {
                let message = *message;
                self.step(node, Event::Message { from, message });
            }
            Happening::OpenAgain {
                target,
                packet,
                tries,
            } => self.open_again(target, packet, tries),
            Happening::Completed { target, packet } => self.completed(target, packet),
            Happening::Probed {
                node,
                target,
                result,
            } => self.step(node, Event::Probed { target, result }),
            Happening::Note { node, note } => self.step(node, Event::Note(note)),
            Happening::List { node, list } => self.step(node, Event::List(list)),
            Happening::Caller { caller } => self.caller_step(caller),
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    /// Prints what happens to the caller that is to be traced.
    pub(super) fn log(&self, what: &Happening) {
        let Some(traced) = self.options.trace_caller else {
            return;
        };
        let of = match what {
            Happening::ToNode { packet, .. }
            | Happening::Answer { packet, .. }
            | Happening::ToTarget { packet, .. }
            | Happening::ToCaller { packet, .. } => packet.caller == traced,
            Happening::Fault(_) => true,
            _ => false,
        };
        if of {
            println!("{:>12} us {what:?}", self.now.as_micros());
        }
    }

    pub(super) fn is_running(&self, node: usize) -> bool {
        let vm = &self.vms[node];
        vm.node.is_some() && self.now >= vm.paused_until
    }

    pub(super) fn tick(&mut self, node: usize, life: u32) {
        let vm = &self.vms[node];
        if vm.life != life || vm.node.is_none() {
            return;
        }
        if self.now < vm.paused_until {
            let until = vm.paused_until;
            return self.at(until, Happening::Tick { node, life });
        }
        self.measures.node_seconds += node::TICK_INTERVAL.as_secs_f64();
        self.after(node::TICK_INTERVAL, Happening::Tick { node, life });
        self.step(node, Event::Tick);
        if self.now.as_micros() % 500_000 < node::TICK_INTERVAL.as_micros() {
            self.read_store(node);
        }
    }

    /// Gives an event to a node and carries out what it says.
    pub(super) fn step(&mut self, at: usize, event: Event) {
        if !self.is_running(at) {
            return;
        }
        let now = self.now;
        let mut actions = std::mem::take(&mut self.actions);
        let record = self.options.record_node == Some(at) && self.vms[at].life == 1;
        let event_record = record.then(|| EventRecord::from_event(&event));
        if let Some(node) = &mut self.vms[at].node {
            node.handle(now, event, &mut actions);
            if let (Some(event), Some(recorder)) = (event_record, &mut self.recorder) {
                recorder.record(now, event, node, &actions);
            }
        }
        for action in actions.drain(..) {
            self.act(at, action);
        }
        self.actions = actions;
    }

    pub(super) fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Forward { packet, target } => self.forward(at, packet, target),
            Action::Relay { packet, to, header } => self.relay(at, packet, to, header),
            Action::ToCaller { packet } => self.hand_to_caller(at, packet),
            Action::Buffer { .. } => {}
            Action::Discard { packet, .. } => {
                self.vms[at].held.swap_remove(&packet);
            }
            Action::Refuse { packet, .. } => self.reset_caller(at, packet, REFUSAL),
            Action::ResetCaller { packet } => self.reset_caller(at, packet, 0),
            Action::Send { to, message } => self.send(at, to, message),
            Action::ProbeTarget { target } => self.probe(at, target),
            Action::WatchStore { on } => {
                self.vms[at].watching = on;
                self.read_store(at);
            }
            Action::InForce { revision } => self.in_force(at, revision),
            Action::EnteredPhase { phase } => {
                if phase == Phase::Left {
                    self.after(QUIET_STOP, Happening::Fault(Fault::Crash(at)));
                }
            }
        }
    }

    pub(super) fn target_index(&self, at: usize, target: TargetKey) -> usize {
        let node = self.vms[at].node.as_ref().expect("the node acts");
        let ip = node.catalog().target(target).spec.endpoint.ip;
        usize::from(ip[14]) * 250 + usize::from(ip[15]) - 1
    }

    pub(super) fn forward(&mut self, at: usize, packet: PacketRef, target: TargetKey) {
        let Some(packet) = self.vms[at].held.swap_remove(&packet) else {
            return;
        };
        self.measures.forwarded += 1;
        let target = self.target_index(at, target);
        if self.targets[target].service != self.callers[packet.caller as usize].service {
            self.measures.violate(Invariant::OtherService);
        }
        let (from, to) = (self.vms[at].zone, self.targets[target].zone);
        if let Some(delay) = self.links.delay(from, to, &mut self.random) {
            self.after(delay, Happening::ToTarget { target, packet });
        }
    }

    pub(super) fn relay(
        &mut self,
        at: usize,
        packet: PacketRef,
        to: MemberId,
        header: RelayHeader,
    ) {
        let Some(packet) = self.vms[at].held.swap_remove(&packet) else {
            return;
        };
        self.measures.relayed += 1;
        let node = to.0 as usize;
        let (from, to) = (self.vms[at].zone, self.vms[node].zone);
        if let Some(delay) = self.links.delay(from, to, &mut self.random) {
            let header = Some(header);
            self.after(
                delay,
                Happening::ToNode {
                    node,
                    packet,
                    header,
                },
            );
        }
    }

    pub(super) fn hand_to_caller(&mut self, at: usize, packet: PacketRef) {
        let Some(packet) = self.vms[at].held.swap_remove(&packet) else {
            return;
        };
        let target = Some(packet.number as usize >> 16);
        let packet = Packet {
            number: packet.number & 0xffff,
            ..packet
        };
        self.after(
            self.options.caller_delay,
            Happening::ToCaller { packet, target },
        );
    }

    pub(super) fn reset_caller(&mut self, at: usize, packet: PacketRef, number: u32) {
        let Some(packet) = self.vms[at].held.swap_remove(&packet) else {
            return;
        };
        if self.lost_flows.contains_key(&packet.caller) {
            let asked = self.callers[packet.caller as usize].since;
            self.measures.silence.push(self.now.since(asked));
        }
        let mut packet = packet;
        packet.number = number;
        packet.info.kind = PacketKind::Reset;
        packet.info.direction = Direction::ToCaller;
        self.after(
            self.options.caller_delay,
            Happening::ToCaller {
                packet,
                target: None,
            },
        );
    }

    pub(super) fn send(&mut self, at: usize, to: MemberId, message: Message) {
        let mut buf = Vec::new();
        codec::encode(MemberId(at as u32), &message, &mut buf);
        let bytes = buf.len() as u64 + 2;
        *self
            .measures
            .control_bytes
            .entry(message.kind())
            .or_default() += bytes;
        let node = to.0 as usize;
        let (from_zone, to_zone) = (self.vms[at].zone, self.vms[node].zone);
        if let Some(delay) = self.links.delay(from_zone, to_zone, &mut self.random) {
            let from = MemberId(at as u32);
            let message = Box::new(message);
            self.after(
                delay,
                Happening::Message {
                    node,
                    from,
                    message,
                },
            );
        }
    }

    pub(super) fn probe(&mut self, at: usize, key: TargetKey) {
        let target = self.target_index(at, key);
        let zones = (self.vms[at].zone, self.targets[target].zone);
        let there = self.links.delay(zones.0, zones.1, &mut self.random);
        let back = self.links.delay(zones.1, zones.0, &mut self.random);
        let result = if there.is_some() && back.is_some() {
            self.targets[target].probe()
        } else {
            cicadaweir_core::load::ProbeResult::Silent
        };
        self.after(
            PROBE_DELAY,
            Happening::Probed {
                node: at,
                target: key,
                result,
            },
        );
    }

    pub(super) fn in_force(&mut self, at: usize, revision: Revision) {
        if revision < self.vms[at].highest {
            self.measures.violate(Invariant::RevisionBack);
        }
        self.vms[at].highest = self.vms[at].highest.max(revision);
        for published in &mut self.published {
            if published.note.revision <= revision {
                published.in_force_at.insert(at);
            }
        }
        self.note_latencies();
    }

    /// Records the latency of notes that are in force at every running node.
    pub(super) fn note_latencies(&mut self) {
        let running: Vec<usize> = (0..self.vms.len())
            .filter(|&at| self.is_running(at))
            .collect();
        let now = self.now;
        for published in &mut self.published {
            let everywhere = running.iter().all(|at| published.in_force_at.contains(at));
            if everywhere && !published.done {
                published.done = true;
                if published.note.revision > Revision(1) {
                    self.measures.note_latencies.push(now.since(published.at));
                }
            }
        }
    }

    pub(super) fn packet_to_node(
        &mut self,
        at: usize,
        packet: Packet,
        header: Option<RelayHeader>,
    ) {
        if !self.is_running(at) {
            return;
        }
        let handle = self.hold(at, packet);
        let info = packet.info;
        let event = match header {
            Some(header) => Event::Relayed {
                packet: handle,
                info,
                header,
            },
            None => Event::FromCaller {
                packet: handle,
                info,
            },
        };
        self.step(at, event);
    }

    pub(super) fn hold(&mut self, at: usize, packet: Packet) -> PacketRef {
        let vm = &mut self.vms[at];
        vm.next_ref = vm.next_ref.wrapping_add(1);
        let handle = PacketRef(vm.next_ref);
        vm.held.insert(handle, packet);
        handle
    }

    pub(super) fn answer_to_node(&mut self, at: usize, mut packet: Packet, target: usize) {
        if !self.is_running(at) {
            return;
        }
        packet.number |= (target as u32) << 16;
        let info = packet.info;
        let handle = self.hold(at, packet);
        let ip = [10, 9, (target / 250) as u8, (target % 250) as u8 + 1];
        let from = std::net::SocketAddr::from((ip, 6081)).into();
        let event = Event::FromTarget {
            packet: handle,
            info,
            from,
        };
        self.step(at, event);
    }

    /// Chooses any node that the fabric knows.
    pub(super) fn spray(&mut self) -> Option<usize> {
        let count = self.vms.iter().filter(|v| v.sprayed).count();
        if count == 0 {
            return None;
        }
        let nth = self.random.next_u64() as usize % count;
        (0..self.vms.len())
            .filter(|&at| self.vms[at].sprayed)
            .nth(nth)
    }
}
