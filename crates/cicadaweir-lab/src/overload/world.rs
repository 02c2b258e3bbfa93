//! The event loop in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
};

use cicadaweir_core::{
    flow::{Endpoint, FlowKey, Protocol},
    packet::{PacketKind, PacketRef},
    steer::{
        Change, Cookie, Identity, Options, Route, RouteTable, Segment, Steering, TargetSpec,
        TargetState, Verdict,
    },
    time::{Duration, Instant},
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Counts, Load, Outcome, Site, Trouble,
    target::{Reception, Target},
};

/// The interval in microseconds at which entry VMs retry pending packets.
const RETRY_INTERVAL_US: u64 = 20_000;

/// The interval in microseconds of an entry VM's periodic work.
const TICK_INTERVAL_US: u64 = 200_000;

/// When a caller retransmits its opening, in milliseconds after the first.
const COPIES_MS: [f64; 2] = [200.0, 600.0];

/// The share of requests whose work takes [`TAIL_FACTOR`] times as long.
const TAIL_SHARE: f64 = 0.03;

/// How many times as long the work of such a request takes.
const TAIL_FACTOR: f64 = 7.0;

/// The port of the first class's route.
const FIRST_PORT: u16 = 8_000;

/// The sequence number by which an answer advances a caller's acknowledgement.
const ANSWER_ACK: u32 = 2_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller makes a request.
    Arrival,
    /// A caller opens a flow for its request.
    Attempt(usize),
    /// A caller sends its opening again.
    Copy(usize, u32),
    /// A caller's packet reaches an entry VM.
    AtEntryVm(usize, Packet),
    /// A caller's packet reaches a target.
    AtTarget(usize, usize, Packet),
    /// A target's packet reaches a caller.
    AtCaller(usize, Answer),
    /// A target completes a request.
    Done(usize, usize),
    /// A caller gives up.
    Timeout(usize),
    /// An entry VM retries pending packets.
    Retry(usize),
    /// An entry VM does its periodic work.
    Tick(usize),
    /// A trouble begins or ends.
    Trouble(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Packet {
    Opening(u32),
    Request,
    Closing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Accepted(usize),
    Response,
    Rejected,
    Reset,
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
struct Request {
    class: usize,
    zone: usize,
    made_at: u64,
    tries_left: u32,
    is_over: bool,
}

/// One flow of a request.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    entry_vm: usize,
    target: Option<usize>,
    is_open: bool,
    is_over: bool,
    has_reached_target: bool,
}

struct World<'a> {
    site: &'a Site,
    load: &'a Load,
    options: Options,
    rng: Pcg64Mcg,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entry_vms: Vec<Steering>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    outcome: Outcome,
}

/// Runs a load against a site. `options` are those of every entry VM.
pub fn run(site: &Site, load: &Load, options: Options, seed: u64) -> Outcome {
    let mut world = World {
        site,
        load,
        options,
        rng: Pcg64Mcg::seed_from_u64(seed),
        now: 0,
        order: 0,
        events: BinaryHeap::new(),
        entry_vms: Vec::new(),
        targets: (0..site.targets).map(|_| Target::default()).collect(),
        requests: Vec::new(),
        attempts: Vec::new(),
        outcome: Outcome {
            seconds: vec![vec![Counts::default(); load.classes.len()]; load.end.ceil() as usize],
            ..Outcome::default()
        },
    };
    world.start_entry_vms();
    world.schedule(0.0, Event::Arrival);
    for vm in 0..site.entry_vms {
        world.schedule(vm as f64 * 0.7, Event::Retry(vm));
        world.schedule(vm as f64 * 3.1, Event::Tick(vm));
    }
    for (at, trouble) in load.troubles.iter().enumerate() {
        if let Trouble::RestartEntryVms { until, .. } = trouble {
            world.schedule(until * 1e3, Event::Trouble(at));
        }
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at as f64 > (load.end + 2.0) * 1e6 {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.outcome
}

impl World<'_> {
    fn start_entry_vms(&mut self) {
        let mut vms = Vec::new();
        for vm in 0..self.site.entry_vms {
            let zone = zone_name(vm % self.site.zones);
            let mut steering = Steering::new(self.options, &zone, self.rng.next_u64());
            let now = self.instant();
            steering.apply(now, Change::Routes(self.routes()));
            for target in 0..self.site.targets {
                steering.apply(now, Change::Target(self.target_spec(target)));
            }
            steering.record_store_view(now);
            vms.push(steering);
        }
        self.entry_vms = vms;
    }

    fn routes(&self) -> RouteTable {
        let classes = self.load.classes.iter().enumerate();
        let routes = classes.map(|(at, class)| {
            let route = Route {
                aim: Some(Duration::from_millis(class.aim_ms)),
                timeout: Some(Duration::from_millis(class.timeout_ms)),
                priority: class.priority,
                ..Route::new(vec![("service".into(), 1)], class.kind)
            };
            (address(at), route)
        });
        RouteTable {
            version: 1,
            routes: routes.collect(),
            idle_timeout: Duration::from_secs(15),
        }
    }

    fn target_spec(&self, target: usize) -> TargetSpec {
        let number = target as u64 + 1;
        let ip = Ipv4Addr::from(0x0a00_0000 + number as u32);
        TargetSpec {
            name: format!("i-{number:x}").into(),
            identity: Identity(number),
            service: "service".into(),
            address: Endpoint::from(SocketAddr::from((ip, 8_602))),
            zone: zone_name(target % self.site.zones).into(),
            slots: self.site.slots as u32,
            state: TargetState::Ready,
            warmup_left: Duration::ZERO,
            born: Some(1),
        }
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.order += 1;
        let at = self.now + (after_ms * 1e3) as u64;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Returns a number from 0 up to 1.
    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Attempt(request) => self.attempt(request),
            Event::Copy(attempt, copy) => {
                let known = self.attempts[attempt];
                if !known.is_open && !known.is_over {
                    self.send(attempt, Packet::Opening(copy));
                }
            }
            Event::AtEntryVm(attempt, packet) => self.at_entry_vm(attempt, packet),
            Event::AtTarget(target, attempt, packet) => self.at_target(target, attempt, packet),
            Event::AtCaller(attempt, answer) => self.at_caller(attempt, answer),
            Event::Done(target, attempt) => self.done(target, attempt),
            Event::Timeout(request) => self.time_out(request),
            Event::Retry(vm) => {
                self.process_pending(vm);
                self.schedule(RETRY_INTERVAL_US as f64 / 1e3, Event::Retry(vm));
            }
            Event::Tick(vm) => {
                let now = self.instant();
                self.entry_vms[vm].record_store_view(now);
                self.entry_vms[vm].tick(now);
                self.schedule(TICK_INTERVAL_US as f64 / 1e3, Event::Tick(vm));
            }
            Event::Trouble(_) => self.start_entry_vms(),
        }
    }

    fn arrive(&mut self) {
        let at = self.seconds();
        if at >= self.load.end {
            return;
        }
        let gap_ms = -1e3 * (1.0 - self.draw()).ln() / self.load.rate(at).max(1.0);
        self.schedule(gap_ms, Event::Arrival);
        let request = self.requests.len();
        let class = self.draw_class();
        let zone = self.draw_zone(at);
        self.requests.push(Request {
            class,
            zone,
            made_at: self.now,
            tries_left: self.load.retries,
            is_over: false,
        });
        self.count(request, |counts| counts.asked += 1);
        self.schedule(0.0, Event::Attempt(request));
        let timeout_ms = self.load.classes[class].timeout_ms as f64;
        self.schedule(timeout_ms, Event::Timeout(request));
    }

    fn draw_class(&mut self) -> usize {
        let mut rest = self.draw();
        for (at, class) in self.load.classes.iter().enumerate() {
            if rest < class.share {
                return at;
            }
            rest -= class.share;
        }
        0
    }

    fn draw_zone(&mut self, at: f64) -> usize {
        let mut first = 1.0;
        for trouble in &self.load.troubles {
            if let Trouble::ZoneBurst {
                factor,
                from,
                until,
            } = *trouble
                && (from..until).contains(&at)
            {
                first = factor;
            }
        }
        let zones = self.site.zones as f64;
        let drawn = self.draw() * (first + zones - 1.0);
        if drawn < first {
            0
        } else {
            (1.0 + drawn - first) as usize % self.site.zones
        }
    }

    fn count(&mut self, request: usize, count: impl FnOnce(&mut Counts)) {
        let Request { made_at, class, .. } = self.requests[request];
        let second = (made_at / 1_000_000) as usize;
        if let Some(classes) = self.outcome.seconds.get_mut(second) {
            count(&mut classes[class]);
        }
    }

    fn attempt(&mut self, request: usize) {
        let Request { zone, is_over, .. } = self.requests[request];
        if is_over {
            return;
        }
        let in_zone = (self.site.entry_vms - zone)
            .div_ceil(self.site.zones)
            .max(1);
        let drawn = (self.rng.next_u64() as usize % in_zone) * self.site.zones + zone;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            entry_vm: drawn.min(self.site.entry_vms - 1),
            target: None,
            is_open: false,
            is_over: false,
            has_reached_target: false,
        });
        self.send(attempt, Packet::Opening(0));
        for (copy, after_ms) in COPIES_MS.into_iter().enumerate() {
            self.schedule(after_ms, Event::Copy(attempt, copy as u32 + 1));
        }
    }

    /// Sends a caller's packet to the flow's entry VM.
    fn send(&mut self, attempt: usize, packet: Packet) {
        let delay = self.site.caller_ms;
        self.schedule(delay, Event::AtEntryVm(attempt, packet));
    }

    fn segment(&self, attempt: usize, packet: Packet) -> Segment {
        let known = self.attempts[attempt];
        let class = self.requests[known.request].class;
        let cookie = known
            .target
            .filter(|_| known.is_open)
            .map_or(Cookie::NONE, |target| {
                Cookie::of(Identity(target as u64 + 1))
            });
        let (kind, sequence, ack, copy) = match packet {
            Packet::Opening(copy) => (PacketKind::Opening, 100, 0, copy),
            Packet::Request => (PacketKind::Data, 101, 1_000, 0),
            Packet::Closing => (PacketKind::Closing, 102, 1_000 + ANSWER_ACK, 0),
        };
        Segment {
            flow: flow_key(attempt, class),
            kind,
            sequence,
            ack,
            copy,
            cookie,
        }
    }

    fn at_entry_vm(&mut self, attempt: usize, packet: Packet) {
        if self.are_entry_vms_down() {
            return;
        }
        let vm = self.attempts[attempt].entry_vm;
        let segment = self.segment(attempt, packet);
        let now = self.instant();
        let verdict = self.entry_vms[vm].packet(now, &segment);
        if matches!(verdict, Verdict::Wait(_)) {
            let copy = match packet {
                Packet::Opening(copy) => copy,
                Packet::Request | Packet::Closing => 0,
            };
            // The handle identifies the attempt and the copy.
            let handle = PacketRef(attempt as u32 * 4 + copy);
            self.entry_vms[vm].enqueue(now, &segment, handle);
        } else {
            self.execute(vm, attempt, packet, verdict);
        }
        self.process_pending(vm);
    }

    fn process_pending(&mut self, vm: usize) {
        let now = self.instant();
        while let Some(next) = self.entry_vms[vm].next_pending(now) {
            let Ok(pending) = next else { continue };
            let verdict = self.entry_vms[vm].decide_pending(now, &pending);
            let attempt = pending.packet.0 as usize / 4;
            let packet = match pending.segment.kind {
                PacketKind::Opening => Packet::Opening(pending.segment.copy),
                PacketKind::Data => Packet::Request,
                _ => Packet::Closing,
            };
            self.execute(vm, attempt, packet, verdict);
        }
    }

    fn execute(&mut self, vm: usize, attempt: usize, packet: Packet, verdict: Verdict) {
        match verdict {
            Verdict::Place { target, .. } | Verdict::Forward { target, .. } => {
                let entry = self.entry_vms[vm].directory().target(target);
                let Some(number) = entry.map(|entry| entry.identity.0 as usize - 1) else {
                    return;
                };
                let delay = self.delay(vm % self.site.zones, number);
                self.schedule(delay, Event::AtTarget(number, attempt, packet));
            }
            Verdict::Reset(_) => {
                self.outcome.entry_refusals += 1;
                let known = self.attempts[attempt];
                self.outcome.false_refusals += u64::from(known.has_reached_target);
                let delay = self.site.caller_ms;
                self.schedule(delay, Event::AtCaller(attempt, Answer::Reset));
            }
            Verdict::Drop(_) | Verdict::Wait(_) => {}
        }
    }

    fn delay(&self, zone: usize, target: usize) -> f64 {
        if target % self.site.zones == zone {
            self.site.in_zone_ms
        } else {
            self.site.cross_zone_ms
        }
    }

    fn answer(&mut self, target: usize, attempt: usize, answer: Answer, after_ms: f64) {
        let zone = self.requests[self.attempts[attempt].request].zone;
        let delay = after_ms + self.delay(zone, target) + self.site.caller_ms;
        self.schedule(delay, Event::AtCaller(attempt, answer));
    }

    fn are_entry_vms_down(&self) -> bool {
        let at = self.seconds();
        self.load.troubles.iter().any(|trouble| match *trouble {
            Trouble::RestartEntryVms { from, until } => (from..until).contains(&at),
            _ => false,
        })
    }

    fn is_down(&self, target: usize) -> bool {
        let at = self.seconds();
        self.load.troubles.iter().any(|trouble| match *trouble {
            Trouble::TargetsDown { share, from, until } => {
                (from..until).contains(&at) && (target as f64) < share * self.site.targets as f64
            }
            _ => false,
        })
    }

    fn slowdown(&self, target: usize) -> f64 {
        let at = self.seconds();
        let factors = self.load.troubles.iter().map(|trouble| match *trouble {
            Trouble::SlowTargets {
                share,
                factor,
                from,
                until,
            } if (from..until).contains(&at)
                && (target as f64) < share * self.site.targets as f64 =>
            {
                factor
            }
            _ => 1.0,
        });
        factors.product()
    }

    fn at_target(&mut self, target: usize, attempt: usize, packet: Packet) {
        self.attempts[attempt].has_reached_target = true;
        let (slots, queue) = (self.site.slots, self.site.queue);
        match packet {
            Packet::Opening(_) => {
                let max_flows = slots + queue + self.site.excess_flows;
                let is_refused = self.is_down(target)
                    || self.targets[target].open(max_flows) == Reception::Refused;
                if is_refused {
                    self.outcome.target_refusals += 1;
                    self.answer(target, attempt, Answer::Reset, 0.0);
                } else {
                    self.answer(target, attempt, Answer::Accepted(target), 0.0);
                }
            }
            Packet::Request => match self.targets[target].request(attempt, slots, queue) {
                Reception::Started => self.start(target, attempt),
                Reception::Accepted => {}
                Reception::Refused => {
                    self.outcome.target_rejections += 1;
                    let after_ms = self.site.reject_ms;
                    self.answer(target, attempt, Answer::Rejected, after_ms);
                }
            },
            Packet::Closing => {
                self.targets[target].close();
                self.targets[target].queue.retain(|&known| known != attempt);
            }
        }
    }

    fn start(&mut self, target: usize, attempt: usize) {
        let class = self.load.classes[self.requests[self.attempts[attempt].request].class];
        // An exponential part stands in for the spread of the work.
        let spread = 0.5 - 0.5 * (1.0 - self.draw()).ln();
        let tail = if self.draw() < TAIL_SHARE {
            TAIL_FACTOR
        } else {
            1.0
        };
        let mean_tail = 1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0);
        let work_ms = class.work_ms * spread * tail / mean_tail * self.slowdown(target);
        if self.attempts[attempt].is_over {
            self.outcome.wasted_ms += work_ms;
        }
        self.schedule(work_ms, Event::Done(target, attempt));
    }

    fn done(&mut self, target: usize, attempt: usize) {
        self.answer(target, attempt, Answer::Response, 0.0);
        match self.targets[target].queue.pop_front() {
            Some(next) => self.start(target, next),
            None => self.targets[target].running -= 1,
        }
    }

    fn at_caller(&mut self, attempt: usize, answer: Answer) {
        let known = &mut self.attempts[attempt];
        if known.is_over {
            return;
        }
        let request = known.request;
        match answer {
            Answer::Accepted(target) => {
                if !known.is_open {
                    known.is_open = true;
                    known.target = Some(target);
                    self.send(attempt, Packet::Request);
                }
            }
            Answer::Response => {
                known.is_over = true;
                self.send(attempt, Packet::Closing);
                if !std::mem::replace(&mut self.requests[request].is_over, true) {
                    let waited = self.now - self.requests[request].made_at;
                    let aim = self.load.classes[self.requests[request].class].aim_ms * 1_000;
                    self.count(request, |counts| {
                        if waited <= aim {
                            counts.in_aim += 1;
                        } else {
                            counts.late += 1;
                        }
                    });
                }
            }
            Answer::Rejected | Answer::Reset => {
                known.is_over = true;
                if answer == Answer::Rejected {
                    self.send(attempt, Packet::Closing);
                }
                self.come_back(request);
            }
        }
    }

    fn come_back(&mut self, request: usize) {
        let known = &mut self.requests[request];
        if known.is_over {
            return;
        }
        if known.tries_left == 0 {
            known.is_over = true;
            return self.count(request, |counts| counts.refused += 1);
        }
        known.tries_left -= 1;
        let delay = self.load.retry_ms;
        self.schedule(delay, Event::Attempt(request));
    }

    fn time_out(&mut self, request: usize) {
        if std::mem::replace(&mut self.requests[request].is_over, true) {
            return;
        }
        self.count(request, |counts| counts.timed_out += 1);
        let attempts = self.attempts.len();
        for attempt in (0..attempts).rev().take(ATTEMPTS_SEARCHED) {
            let known = &mut self.attempts[attempt];
            if known.request == request && !known.is_over {
                known.is_over = true;
                if known.is_open {
                    self.send(attempt, Packet::Closing);
                }
            }
        }
    }
}

/// The number of latest attempts that are searched for those of a request that has
/// timed out.
const ATTEMPTS_SEARCHED: usize = 40_000;

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn address(class: usize) -> Endpoint {
    let ip = Ipv4Addr::new(198, 18, 0, 1);
    Endpoint::from(SocketAddr::from((ip, FIRST_PORT + class as u16)))
}

fn flow_key(attempt: usize, class: usize) -> FlowKey {
    let ip = Ipv4Addr::from(0x6440_0000 + (attempt / 40_000) as u32);
    let port = 1_024 + (attempt % 40_000) as u16;
    FlowKey {
        protocol: Protocol::Tcp,
        caller: Endpoint::from(SocketAddr::from((ip, port))),
        address: address(class),
    }
}
