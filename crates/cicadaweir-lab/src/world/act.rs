//! What each happening does.

use cicadaweir_core::{membership::Phase, message::Message, node, prelude::*, route::RelayHeader};
use cicadaweir_proto::{codec, trace::EventRecord};
use rand_core::RngCore;

use crate::measure::Invariant;

use super::{
    Behaviour, CallerKind, CallerState, Fault, Happening, World, event::Packet, run::SURGE_DEADLINE,
};

/// The pause before an opening's answer is repeated, doubled each time.
const OPENING_ANSWER_PAUSE: Duration = Duration::from_secs(1);

/// The most answers to one opening.
const OPENING_ANSWERS: u32 = 4;

/// How long a node that has left still forwards.
const QUIET_STOP: Duration = Duration::from_millis(2_500);

/// The packet number of a reset that refuses an opening.
const REFUSAL: u32 = 1;

/// After how long a withdrawn target may get no new work.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(3);

/// Tries of an opening or datagram.
const OPENING_TRIES: u32 = 6;

/// Tries after which an acknowledged request whose answer does not come is
/// sent again: the answer may be lost, and the lab's targets repeat it only
/// when they are asked.
const ACKNOWLEDGED_TRIES: u32 = 2;

/// How long an open flow may make no progress before its caller gives up.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// The delay of a probe and its answer.
const PROBE_DELAY: Duration = Duration::from_millis(12);

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
    fn log(&self, what: &Happening) {
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

    fn is_running(&self, node: usize) -> bool {
        let vm = &self.vms[node];
        vm.node.is_some() && self.now >= vm.paused_until
    }

    fn tick(&mut self, node: usize, life: u32) {
        let vm = &self.vms[node];
        if vm.life != life || vm.node.is_none() {
            return;
        }
        if self.now < vm.paused_until {
            let until = vm.paused_until;
            return self.at(until, Happening::Tick { node, life });
        }
        self.measures.node_seconds += node::TICK.as_secs_f64();
        self.after(node::TICK, Happening::Tick { node, life });
        self.step(node, Event::Tick);
        if self.now.as_micros() % 500_000 < node::TICK.as_micros() {
            self.read_store(node);
        }
    }

    /// Gives an event to a node and carries out what it says.
    fn step(&mut self, at: usize, event: Event) {
        if !self.is_running(at) {
            return;
        }
        let now = self.now;
        let mut actions = std::mem::take(&mut self.actions);
        let record = self.options.record_node == Some(at) && self.vms[at].life == 1;
        let event_record = record.then(|| EventRecord::of(&event));
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

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Forward { packet, target } => self.forward(at, packet, target),
            Action::Relay { packet, to, header } => self.relay(at, packet, to, header),
            Action::ToCaller { packet } => self.hand_to_caller(at, packet),
            Action::Hold { .. } => {}
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

    fn target_index(&self, at: usize, target: TargetKey) -> usize {
        let node = self.vms[at].node.as_ref().expect("the node acts");
        let ip = node.catalog().target(target).spec.endpoint.ip;
        usize::from(ip[14]) * 250 + usize::from(ip[15]) - 1
    }

    fn forward(&mut self, at: usize, packet: PacketRef, target: TargetKey) {
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

    fn relay(&mut self, at: usize, packet: PacketRef, to: MemberId, header: RelayHeader) {
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

    fn hand_to_caller(&mut self, at: usize, packet: PacketRef) {
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

    fn reset_caller(&mut self, at: usize, packet: PacketRef, number: u32) {
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

    fn send(&mut self, at: usize, to: MemberId, message: Message) {
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

    fn probe(&mut self, at: usize, key: TargetKey) {
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

    fn in_force(&mut self, at: usize, revision: Revision) {
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
    fn note_latencies(&mut self) {
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

    fn packet_to_node(&mut self, at: usize, packet: Packet, header: Option<RelayHeader>) {
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

    fn hold(&mut self, at: usize, packet: Packet) -> PacketRef {
        let vm = &mut self.vms[at];
        vm.next_ref = vm.next_ref.wrapping_add(1);
        let handle = PacketRef(vm.next_ref);
        vm.held.insert(handle, packet);
        handle
    }

    fn answer_to_node(&mut self, at: usize, mut packet: Packet, target: usize) {
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

    fn packet_to_target(&mut self, at: usize, packet: Packet) {
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
    fn is_open_at(&self, at: usize, caller: u32) -> bool {
        let with = self.callers[caller as usize].connected;
        self.targets[at].open.contains(&caller) && with == Some(at)
    }

    /// Notes that a flow's first packet reached a target.
    fn delivered(&mut self, at: usize, caller: u32) {
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

    fn withdrawn_for(&self, target: usize) -> Duration {
        let name = format!("t{target}");
        let of = |change: &cicadaweir_core::catalog::Change| matches!(change, cicadaweir_core::catalog::Change::WithdrawTarget { target, .. } if *target == name);
        self.published
            .iter()
            .find(|p| p.note.changes.iter().any(of))
            .map_or(Duration::ZERO, |p| self.now.since(p.at))
    }

    fn open_connection(&mut self, at: usize, packet: Packet) {
        let target = &mut self.targets[at];
        let full = target.open.len() >= target.connections as usize;
        if full && !target.open.contains(&packet.caller) {
            return self.answer(at, packet, PacketKind::Reset);
        }
        target.open.insert(packet.caller);
        self.answer(at, packet, PacketKind::OpeningAnswer);
        self.after_opening(at, packet, 1);
    }

    fn after_opening(&mut self, target: usize, packet: Packet, tries: u32) {
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
    fn open_again(&mut self, at: usize, packet: Packet, tries: u32) {
        let caller = &self.callers[packet.caller as usize];
        let waits = caller.state == CallerState::Opening;
        if waits && self.targets[at].open.contains(&packet.caller) && tries < OPENING_ANSWERS {
            self.answer(at, packet, PacketKind::OpeningAnswer);
            self.after_opening(at, packet, tries + 1);
        }
    }

    /// Queues a request; one that the target has seen already is not run
    /// again, and its answer is repeated.
    fn request(&mut self, at: usize, packet: Packet) {
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

    fn ran_elsewhere(&self, at: usize, packet: Packet) -> bool {
        let others = &self.callers[packet.caller as usize].delivered_to;
        others.iter().filter(|&&other| other != at).any(|&other| {
            let key = packet.identity << 8 | (other as u64 & 0xff);
            self.ran.contains_key(&key)
        })
    }

    fn start_work(&mut self, at: usize) {
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

    fn completed(&mut self, at: usize, packet: Packet) {
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

    fn answer_request(&mut self, at: usize, packet: Packet) {
        let kind = match packet.info.kind {
            PacketKind::Datagram => PacketKind::Datagram,
            _ => PacketKind::Data,
        };
        self.answer(at, packet, kind);
    }

    /// Sends an answer through any node.
    fn answer(&mut self, at: usize, mut packet: Packet, kind: PacketKind) {
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

    /// Chooses any node that the fabric knows.
    fn spray(&mut self) -> Option<usize> {
        let count = self.vms.iter().filter(|v| v.sprayed).count();
        if count == 0 {
            return None;
        }
        let nth = self.random.next_u64() as usize % count;
        (0..self.vms.len())
            .filter(|&at| self.vms[at].sprayed)
            .nth(nth)
    }

    /// Sends a caller's packet to any node.
    fn send_to_service(&mut self, caller: u32, kind: PacketKind, identity: u64) {
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
    fn caller_step(&mut self, index: u32) {
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

    fn send_first(&mut self, index: u32) {
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

    fn wake(&mut self, index: u32) {
        let pause = self.callers[index as usize].retry_pause();
        self.after(pause, Happening::Caller { caller: index });
    }

    fn repeat(&mut self, index: u32) {
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

    fn packet_to_caller(&mut self, packet: Packet, target: Option<usize>) {
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

    fn count_broken(&mut self, index: u32) {
        self.measures.broken += 1;
        self.measures.broken_callers.push(index);
    }

    fn answered(&mut self, index: u32, packet: Packet) {
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

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leave(at) => {
                self.step(at, Event::Leave);
                // The fabric stops spraying once the platform lists it as
                // leaving; packets that are under way still arrive.
                self.vms[at].sprayed = false;
            }
            Fault::Crash(at) => {
                self.vms[at].node = None;
                self.vms[at].held.clear();
                self.vms[at].sprayed = false;
            }
            Fault::Start(at) => self.start_node(at),
            Fault::Pause(at, span) => self.vms[at].paused_until = self.now + span,
            Fault::CutZone(zone) => {
                for other in (0..self.options.zones).map(ZoneId) {
                    if other != zone {
                        self.links.cut(zone, other);
                        self.links.cut(other, zone);
                    }
                }
            }
            Fault::CutOneWay(from, to) => self.links.cut(from, to),
            Fault::Mend => self.links.mend(),
            Fault::AddTarget(service) => {
                let target = self.new_target(service);
                let service = self.options.services[service].name.clone();
                self.publish(vec![cicadaweir_core::catalog::Change::AddTarget {
                    service,
                    target,
                }]);
            }
            Fault::WithdrawTarget(service) => self.withdraw_target(service),
            Fault::Behave(target, behaviour) => {
                if behaviour == Behaviour::Crashed {
                    self.targets[target].open.clear();
                    self.targets[target].waiting.clear();
                    self.targets[target].busy = 0;
                }
                self.targets[target].behaviour = behaviour;
            }
            Fault::StoreDown => self.store_up = false,
            Fault::StoreUp => {
                self.store_up = true;
                for at in 0..self.vms.len() {
                    self.read_store(at);
                }
            }
            Fault::LoseFlows(one_in) => self.lose_flows(one_in),
        }
    }

    fn withdraw_target(&mut self, service: usize) {
        let found = (0..self.targets.len())
            .find(|&t| self.targets[t].service == service && !self.targets[t].withdrawn);
        let Some(target) = found else {
            return;
        };
        self.targets[target].withdrawn = true;
        self.publish(vec![cicadaweir_core::catalog::Change::WithdrawTarget {
            service: self.options.services[service].name.clone(),
            target: format!("t{target}"),
        }]);
    }

    fn lose_flows(&mut self, one_in: u32) {
        for (index, caller) in self.callers.iter().enumerate() {
            if caller.is_open() && index as u32 % one_in == 0 {
                self.lost_flows.insert(index as u32, self.now);
            }
        }
    }

    /// Closes the account: imbalance over the first service's targets.
    pub fn finish(&mut self) {
        let targets = self.targets.iter();
        let open: Vec<usize> = targets
            .filter(|t| t.service == 0 && !t.withdrawn && t.behaviour != Behaviour::Crashed)
            .map(|t| t.open.len())
            .collect();
        let sum: usize = open.iter().sum();
        let most = open.iter().copied().max().unwrap_or(0);
        if sum > 0 {
            self.measures.imbalance = most as f64 * open.len() as f64 / sum as f64;
        }
        let unfinished = self
            .callers
            .iter()
            .filter(|c| c.state == CallerState::Waiting && self.now.since(c.since) > STALL_LIMIT);
        self.measures.broken += unfinished.count() as u64;
    }
}

/// Returns the key under which a target remembers a request.
fn request_key(target: usize, packet: &Packet) -> u64 {
    packet.identity << 8 | (target as u64 & 0xff)
}
