//! Dispatch of simulation events, and the effects of a node's actions.

use cicadaweir_core::{membership::Phase, message::Message, node, prelude::*, route::RelayHeader};
use cicadaweir_proto::{codec, trace::EventRecord};
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{Fault, SimEvent, World, event::Packet};

/// How long the process of a node that has left keeps forwarding packets.
const LEFT_NODE_LIFETIME: Duration = Duration::from_millis(2_500);

/// The delay from a probe's dispatch to its result.
const PROBE_DELAY: Duration = Duration::from_millis(12);

/// The value of [`Packet::number`] that marks a reset as the refusal of an
/// opening.
pub(super) const REFUSAL_NUMBER: u32 = 1;

impl World {
    pub(super) fn dispatch(&mut self, event: SimEvent) {
        self.print_trace(&event);
        match event {
            SimEvent::Tick { node, start_count } => self.tick(node, start_count),
            SimEvent::ToNode {
                node,
                packet,
                header,
            } => self.packet_to_node(node, packet, header),
            SimEvent::Answer {
                node,
                packet,
                target,
            } => self.answer_to_node(node, packet, target),
            SimEvent::ToTarget { target, packet } => self.packet_to_target(target, packet),
            SimEvent::ToCaller { packet, target } => self.packet_to_caller(packet, target),
            SimEvent::Message {
                node,
                from,
                message,
            } => {
                let message = *message;
                self.handle_event(node, Event::Message { from, message });
            }
            SimEvent::RetransmitOpeningAnswer {
                target,
                packet,
                attempts,
            } => self.retransmit_opening_answer(target, packet, attempts),
            SimEvent::Completed { target, packet } => self.complete_request(target, packet),
            SimEvent::Probed {
                node,
                target,
                result,
            } => self.handle_event(node, Event::Probed { target, result }),
            SimEvent::Note { node, note } => self.handle_event(node, Event::Note(note)),
            SimEvent::List { node, list } => self.handle_event(node, Event::List(list)),
            SimEvent::Caller { caller } => self.advance_caller(caller),
            SimEvent::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Prints faults and the packets of the traced caller.
    pub(super) fn print_trace(&self, event: &SimEvent) {
        let Some(traced) = self.options.trace_caller else {
            return;
        };
        let is_traced = match event {
            SimEvent::ToNode { packet, .. }
            | SimEvent::Answer { packet, .. }
            | SimEvent::ToTarget { packet, .. }
            | SimEvent::ToCaller { packet, .. } => packet.caller == traced,
            SimEvent::Fault(_) => true,
            _ => false,
        };
        if is_traced {
            println!("{:>12} us {event:?}", self.now.as_micros());
        }
    }

    pub(super) fn is_running(&self, node: usize) -> bool {
        let vm = &self.vms[node];
        vm.node.is_some() && self.now >= vm.paused_until
    }

    pub(super) fn tick(&mut self, node: usize, start_count: u32) {
        let vm = &self.vms[node];
        if vm.start_count != start_count || vm.node.is_none() {
            return;
        }
        if self.now < vm.paused_until {
            let until = vm.paused_until;
            return self.schedule_at(until, SimEvent::Tick { node, start_count });
        }
        self.measures.node_seconds += node::TICK_INTERVAL.as_secs_f64();
        self.schedule_after(node::TICK_INTERVAL, SimEvent::Tick { node, start_count });
        self.handle_event(node, Event::Tick);
        // Reads the release notes that the node does not know yet every 500 ms.
        if self.now.as_micros() % 500_000 < node::TICK_INTERVAL.as_micros() {
            self.read_store(node);
        }
    }

    /// Passes an event to a node and performs the actions that it returns.
    pub(super) fn handle_event(&mut self, index: usize, event: Event) {
        if !self.is_running(index) {
            return;
        }
        let now = self.now;
        let mut actions = std::mem::take(&mut self.actions);
        let record = self.options.record_node == Some(index) && self.vms[index].start_count == 1;
        let event_record = record.then(|| EventRecord::from_event(&event));
        if let Some(node) = &mut self.vms[index].node {
            node.handle(now, event, &mut actions);
            if let (Some(event), Some(recorder)) = (event_record, &mut self.recorder) {
                recorder.record(now, event, node, &actions);
            }
        }
        for action in actions.drain(..) {
            self.perform(index, action);
        }
        self.actions = actions;
    }

    pub(super) fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Forward { packet, target } => self.forward(index, packet, target),
            Action::Relay { packet, to, header } => self.relay(index, packet, to, header),
            Action::ToCaller { packet } => self.hand_to_caller(index, packet),
            Action::Buffer { .. } => {}
            Action::Discard { packet, .. } => {
                self.vms[index].packets.swap_remove(&packet);
            }
            Action::Refuse { packet, .. } => self.reset_caller(index, packet, REFUSAL_NUMBER),
            Action::ResetCaller { packet } => self.reset_caller(index, packet, 0),
            Action::Send { to, message } => self.send(index, to, message),
            Action::ProbeTarget { target } => self.probe_target(index, target),
            Action::WatchStore { on } => {
                self.vms[index].watching = on;
                self.read_store(index);
            }
            Action::InForce { revision } => self.record_in_force(index, revision),
            Action::EnteredPhase { phase } => {
                if phase == Phase::Left {
                    self.schedule_after(LEFT_NODE_LIFETIME, SimEvent::Fault(Fault::Crash(index)));
                }
            }
        }
    }

    pub(super) fn target_index(&self, index: usize, target: TargetKey) -> usize {
        let node = self.vms[index]
            .node
            .as_ref()
            .expect("a node that returned an action is running");
        let ip = node.catalog().target(target).spec.endpoint.ip;
        usize::from(ip[14]) * 250 + usize::from(ip[15]) - 1
    }

    pub(super) fn forward(&mut self, index: usize, packet: PacketRef, target: TargetKey) {
        let Some(packet) = self.vms[index].packets.swap_remove(&packet) else {
            return;
        };
        self.measures.forwarded += 1;
        let target = self.target_index(index, target);
        if self.targets[target].service != self.callers[packet.caller as usize].service {
            self.measures.record_violation(Invariant::OtherService);
        }
        let (from, to) = (self.vms[index].zone, self.targets[target].zone);
        if let Some(delay) = self.links.delay(from, to, &mut self.random) {
            self.schedule_after(delay, SimEvent::ToTarget { target, packet });
        }
    }

    pub(super) fn relay(
        &mut self,
        index: usize,
        packet: PacketRef,
        to: MemberId,
        header: RelayHeader,
    ) {
        let Some(packet) = self.vms[index].packets.swap_remove(&packet) else {
            return;
        };
        self.measures.relayed += 1;
        let node = to.0 as usize;
        let (from, to) = (self.vms[index].zone, self.vms[node].zone);
        if let Some(delay) = self.links.delay(from, to, &mut self.random) {
            let header = Some(header);
            self.schedule_after(
                delay,
                SimEvent::ToNode {
                    node,
                    packet,
                    header,
                },
            );
        }
    }

    pub(super) fn hand_to_caller(&mut self, index: usize, packet: PacketRef) {
        let Some(packet) = self.vms[index].packets.swap_remove(&packet) else {
            return;
        };
        let target = Some(packet.number as usize >> 16);
        let packet = Packet {
            number: packet.number & 0xffff,
            ..packet
        };
        self.schedule_after(
            self.options.caller_delay,
            SimEvent::ToCaller { packet, target },
        );
    }

    pub(super) fn reset_caller(&mut self, index: usize, packet: PacketRef, number: u32) {
        let Some(packet) = self.vms[index].packets.swap_remove(&packet) else {
            return;
        };
        if self.lost_flows.contains_key(&packet.caller) {
            let sent_at = self.callers[packet.caller as usize].step_started_at;
            self.measures.reset_delays.push(self.now.since(sent_at));
        }
        let mut packet = packet;
        packet.number = number;
        packet.info.kind = PacketKind::Reset;
        packet.info.direction = Direction::ToCaller;
        self.schedule_after(
            self.options.caller_delay,
            SimEvent::ToCaller {
                packet,
                target: None,
            },
        );
    }

    pub(super) fn send(&mut self, index: usize, to: MemberId, message: Message) {
        let mut buf = Vec::new();
        codec::encode(MemberId(index as u32), &message, &mut buf);
        // A datagram between daemons starts with two bytes that mark it as a message.
        let bytes = buf.len() as u64 + 2;
        *self
            .measures
            .control_bytes
            .entry(message.kind())
            .or_default() += bytes;
        let node = to.0 as usize;
        let (from_zone, to_zone) = (self.vms[index].zone, self.vms[node].zone);
        if let Some(delay) = self.links.delay(from_zone, to_zone, &mut self.random) {
            let from = MemberId(index as u32);
            let message = Box::new(message);
            self.schedule_after(
                delay,
                SimEvent::Message {
                    node,
                    from,
                    message,
                },
            );
        }
    }

    pub(super) fn probe_target(&mut self, index: usize, key: TargetKey) {
        let target = self.target_index(index, key);
        let zones = (self.vms[index].zone, self.targets[target].zone);
        let request = self.links.delay(zones.0, zones.1, &mut self.random);
        let response = self.links.delay(zones.1, zones.0, &mut self.random);
        let result = if request.is_some() && response.is_some() {
            self.targets[target].probe()
        } else {
            cicadaweir_core::load::ProbeResult::Silent
        };
        self.schedule_after(
            PROBE_DELAY,
            SimEvent::Probed {
                node: index,
                target: key,
                result,
            },
        );
    }

    pub(super) fn record_in_force(&mut self, index: usize, revision: Revision) {
        if revision < self.vms[index].highest_in_force {
            self.measures.record_violation(Invariant::RevisionBack);
        }
        self.vms[index].highest_in_force = self.vms[index].highest_in_force.max(revision);
        for published in &mut self.published {
            if published.note.revision <= revision {
                published.in_force_at.insert(index);
            }
        }
        self.record_note_latencies();
    }

    /// Records the latency of notes that have come into force at every running
    /// node.
    pub(super) fn record_note_latencies(&mut self) {
        let running: Vec<usize> = (0..self.vms.len())
            .filter(|&index| self.is_running(index))
            .collect();
        let now = self.now;
        for published in &mut self.published {
            let everywhere = running
                .iter()
                .all(|index| published.in_force_at.contains(index));
            if everywhere && !published.latency_recorded {
                published.latency_recorded = true;
                if published.note.revision > Revision(1) {
                    self.measures
                        .note_latencies
                        .push(now.since(published.published_at));
                }
            }
        }
    }

    pub(super) fn packet_to_node(
        &mut self,
        index: usize,
        packet: Packet,
        header: Option<RelayHeader>,
    ) {
        if !self.is_running(index) {
            return;
        }
        let packet_ref = self.store_packet(index, packet);
        let info = packet.info;
        let event = match header {
            Some(header) => Event::Relayed {
                packet: packet_ref,
                info,
                header,
            },
            None => Event::FromCaller {
                packet: packet_ref,
                info,
            },
        };
        self.handle_event(index, event);
    }

    pub(super) fn store_packet(&mut self, index: usize, packet: Packet) -> PacketRef {
        let vm = &mut self.vms[index];
        vm.next_ref = vm.next_ref.wrapping_add(1);
        let packet_ref = PacketRef(vm.next_ref);
        vm.packets.insert(packet_ref, packet);
        packet_ref
    }

    pub(super) fn answer_to_node(&mut self, index: usize, mut packet: Packet, target: usize) {
        if !self.is_running(index) {
            return;
        }
        packet.number |= (target as u32) << 16;
        let info = packet.info;
        let packet_ref = self.store_packet(index, packet);
        let ip = [10, 9, (target / 250) as u8, (target % 250) as u8 + 1];
        let from = std::net::SocketAddr::from((ip, 6081)).into();
        let event = Event::FromTarget {
            packet: packet_ref,
            info,
            from,
        };
        self.handle_event(index, event);
    }

    /// Picks a random node among those that the fabric sends packets to, or
    /// `None` if there are none.
    pub(super) fn pick_ingress_node(&mut self) -> Option<usize> {
        let count = self.vms.iter().filter(|v| v.in_rotation).count();
        if count == 0 {
            return None;
        }
        let nth = self.random.next_u64() as usize % count;
        (0..self.vms.len())
            .filter(|&index| self.vms[index].in_rotation)
            .nth(nth)
    }
}
