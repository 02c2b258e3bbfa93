//! Admission of openings under overload.

use cicadaweir_core::{
    packet::PacketRef,
    prelude::*,
    steer::{
        Change, Observation, Options, RequestKind, ResetReason, Route, RouteTable, Steering,
        Verdict, WaitReason,
    },
};

use crate::support::{
    AT_MOST_ONCE_PORT, IDEMPOTENT_PORT, acknowledgement, address, cookie, flow, ms, opening,
    pass_time, target, target_number,
};

/// The latency objective of the routes, in milliseconds.
const AIM_MS: u64 = 200;

/// A response time in milliseconds that shows long queues.
const SLOW_MS: u64 = 180;

/// A response time in milliseconds without queues.
const FAST_MS: u64 = 40;

/// The port of the route with the low priority.
const LOW_PORT: u16 = IDEMPOTENT_PORT;

/// The port of the route with the high priority.
const HIGH_PORT: u16 = AT_MOST_ONCE_PORT;

/// Drives one entry VM with 14 targets.
struct Driver {
    vm: Steering,
    next_caller: u16,
    next_packet: u32,
}

/// A flow that was placed.
#[derive(Clone, Copy)]
struct Placed {
    flow: FlowKey,
    target: u64,
}

impl Driver {
    fn new() -> Self {
        let mut vm = Steering::new(Options::default(), "a", 1);
        let route = |priority, kind| Route {
            aim: Some(Duration::from_millis(AIM_MS)),
            timeout: Some(Duration::from_millis(1_000)),
            priority,
            ..Route::new(vec![("classes".into(), 1)], kind)
        };
        let routes = [
            (address(LOW_PORT), route(2, RequestKind::Idempotent)),
            (address(HIGH_PORT), route(0, RequestKind::AtMostOnce)),
        ];
        vm.apply(
            ms(0),
            Change::Routes(RouteTable {
                version: 1,
                routes: routes.into_iter().collect(),
                idle_timeout: Duration::from_secs(15),
            }),
        );
        for n in 1..=14 {
            vm.apply(ms(0), Change::Target(target(n, "classes", "a")));
        }
        vm.record_store_view(ms(0));
        Self {
            vm,
            next_caller: 0,
            next_packet: 0,
        }
    }

    /// Offers an opening; returns the flow, and where it was placed if it was.
    fn offer(&mut self, at: u64, port: u16, copy: u32) -> (FlowKey, Verdict) {
        self.next_caller += 1;
        let key = flow(self.next_caller, port);
        let segment = opening(key, copy);
        let verdict = self.vm.packet(ms(at), &segment);
        if matches!(verdict, Verdict::Wait(_)) {
            self.next_packet += 1;
            self.vm
                .enqueue(ms(at), &segment, PacketRef(self.next_packet));
        }
        (key, verdict)
    }

    fn placed(&self, flow: FlowKey, verdict: Verdict) -> Placed {
        let target = target_number(&self.vm, verdict);
        Placed { flow, target }
    }

    /// Answers the request of a flow.
    fn answer(&mut self, at: u64, placed: Placed) {
        let mut packet = acknowledgement(placed.flow, cookie(placed.target), 1_000);
        self.vm.packet(ms(at), &packet);
        packet.ack = 3_000;
        packet.kind = PacketKind::Closing;
        self.vm.packet(ms(at), &packet);
    }

    /// Offers and answers openings, `took` each, until `until`.
    fn load(&mut self, from: u64, until: u64, took: u64) {
        let mut at = from;
        let mut open = Vec::new();
        while at < until {
            for _ in 0..10 {
                let (key, verdict) = self.offer(at, LOW_PORT, 0);
                if let Verdict::Place { .. } = verdict {
                    open.push(self.placed(key, verdict));
                }
            }
            at += took;
            for placed in std::mem::take(&mut open) {
                self.answer(at, placed);
            }
            for (pending, verdict) in self.decide(at) {
                if let Verdict::Place { .. } = verdict {
                    open.push(self.placed(pending, verdict));
                }
            }
        }
        for placed in open {
            self.answer(at, placed);
        }
    }

    /// Decides all pending openings that can be decided.
    fn decide(&mut self, at: u64) -> Vec<(FlowKey, Verdict)> {
        let mut decided = Vec::new();
        while let Some(next) = self.vm.next_pending(ms(at)) {
            if let Ok(pending) = next {
                let verdict = self.vm.decide_pending(ms(at), &pending);
                decided.push((pending.segment.flow, verdict));
            }
        }
        decided
    }

    fn service(&self) -> ServiceKey {
        let route = self.vm.directory().route(&address(LOW_PORT), 0);
        route.expect("a known route").service
    }

    fn limit(&self) -> f32 {
        self.vm.service_limit(self.service())
    }
}

const OVERLOADED: Verdict = Verdict::Reset(ResetReason::Overloaded);

// A burst: every target has a full queue, and every answer is late.
#[test]
fn slow_responses_lower_the_limit_and_openings_beyond_it_are_refused() {
    let mut driver = Driver::new();
    let before = driver.limit();
    driver.load(0, 2_000, SLOW_MS);
    assert!(driver.limit() < before * 0.7, "{}", driver.limit());
    let verdicts: Vec<Verdict> = (0..40)
        .map(|_| driver.offer(2_001, LOW_PORT, 0).1)
        .collect();
    let waiting = verdicts
        .iter()
        .filter(|verdict| **verdict == Verdict::Wait(WaitReason::NoCapacity));
    assert!(waiting.count() > 30);
    let decided = driver.decide(2_002);
    assert!(
        decided.iter().all(|(_, verdict)| *verdict == OVERLOADED),
        "those that would wait for too long are refused at once: {decided:?}"
    );
    assert!(decided.len() > 30, "{}", decided.len());
    let end = 2_001 + (AIM_MS as f32 * Options::default().admission.max_wait) as u64;
    let rest = driver.decide(end);
    assert!(rest.iter().all(|(_, verdict)| *verdict == OVERLOADED));
    assert!(!driver.vm.has_pending());
    let refused: u64 = driver.vm.counters().refusals.iter().sum();
    assert_eq!(
        driver.vm.counters().refusals[2],
        refused,
        "all of priority 2"
    );
}

// An outage is over: the crowd of those that waited is served within a second, without
// any refusal.
#[test]
fn without_a_sign_of_overload_openings_beyond_the_limit_are_placed() {
    let mut driver = Driver::new();
    let verdicts: Vec<Verdict> = (0..20).map(|_| driver.offer(0, LOW_PORT, 0).1).collect();
    assert!(verdicts.contains(&Verdict::Wait(WaitReason::NoCapacity)));
    assert!(driver.decide(10).is_empty());
    let timeout = Options::default().capacity_timeout.as_millis();
    let decided = driver.decide(timeout);
    assert!(!decided.is_empty());
    for (_, verdict) in decided {
        assert!(matches!(verdict, Verdict::Place { .. }), "{verdict:?}");
    }
}

// Another entry VM may have placed an earlier copy: a refusal could be untrue.
#[test]
fn a_copy_of_an_opening_is_never_refused() {
    let mut driver = Driver::new();
    driver.load(0, 2_000, SLOW_MS);
    let copies: Vec<Verdict> = (0..30)
        .map(|_| driver.offer(2_001, LOW_PORT, 1).1)
        .collect();
    assert!(!copies.contains(&OVERLOADED));
    let end = 2_001 + Options::default().copy_timeout.as_millis();
    for at in (2_002..end + 20).step_by(20) {
        for (_, verdict) in driver.decide(at) {
            assert_ne!(verdict, OVERLOADED);
        }
    }
    assert!(!driver.vm.has_pending());
}

// An opening that waited for the store to be read: its copies have gone elsewhere.
#[test]
fn an_opening_that_waited_for_longer_than_a_first_copy_is_not_refused() {
    let mut driver = Driver::new();
    driver.load(0, 2_000, SLOW_MS);
    for _ in 0..30 {
        driver.offer(2_001, LOW_PORT, 0);
    }
    for (_, verdict) in driver.decide(2_001 + 400) {
        assert_ne!(verdict, OVERLOADED);
    }
}

#[test]
fn a_high_priority_goes_first_and_a_low_one_does_not_starve() {
    let mut driver = Driver::new();
    let mut open = Vec::new();
    loop {
        let (key, verdict) = driver.offer(0, LOW_PORT, 0);
        match verdict {
            Verdict::Place { .. } => open.push(driver.placed(key, verdict)),
            _ => break,
        }
    }
    for _ in 0..8 {
        driver.offer(1, LOW_PORT, 0);
        driver.offer(1, HIGH_PORT, 0);
    }
    let mut ports = Vec::new();
    for placed in open.drain(..).take(4) {
        driver.answer(5, placed);
        let decided = driver.decide(5);
        ports.extend(decided.iter().map(|(key, _)| key.address.port));
    }
    assert_eq!(ports.len(), 4);
    let high = ports.iter().filter(|port| **port == HIGH_PORT).count();
    assert_eq!(high, 3, "{ports:?}");
}

#[test]
fn the_limit_rises_again_when_the_queues_are_gone() {
    let mut driver = Driver::new();
    driver.load(0, 2_000, SLOW_MS);
    let low = driver.limit();
    driver.load(2_100, 3_600, FAST_MS);
    assert!(driver.limit() > low * 3.0, "{low} to {}", driver.limit());
}

// One request in thirty works seven times as long as the others.
#[test]
fn a_few_slow_requests_are_no_sign_of_overload() {
    let mut driver = Driver::new();
    let before = driver.limit();
    for round in 0..60 {
        let at = round * 400;
        let mut open = Vec::new();
        for _ in 0..5 {
            let (key, verdict) = driver.offer(at, LOW_PORT, 0);
            open.push(driver.placed(key, verdict));
        }
        for (n, placed) in open.into_iter().enumerate() {
            let took = if n < 2 { 300 } else { FAST_MS };
            driver.answer(at + took, placed);
        }
    }
    assert!(driver.limit() >= before);
}

// A cut, or a pause of this process, makes answers late without any queue.
#[test]
fn retransmissions_and_pauses_are_no_sign_of_overload() {
    let mut driver = Driver::new();
    let before = driver.limit();
    for round in 0..20 {
        let at = round * 2_000;
        let mut open = Vec::new();
        for _ in 0..4 {
            let (key, verdict) = driver.offer(at, LOW_PORT, 0);
            open.push(driver.placed(key, verdict));
        }
        for placed in open {
            driver.answer(at + 1_500, placed);
        }
        pass_time(&mut driver.vm, at + 1_500, at + 2_000);
    }
    pass_time(&mut driver.vm, 40_000, 60_000);
    assert!(driver.limit() >= before, "pauses: {}", driver.limit());
    for round in 0..200 {
        let at = 60_000 + round * 250;
        let (key, verdict) = driver.offer(at, LOW_PORT, 1);
        if matches!(verdict, Verdict::Place { .. }) {
            let placed = driver.placed(key, verdict);
            driver.answer(at + 240, placed);
        }
    }
    assert!(driver.limit() >= before, "copies: {}", driver.limit());
}

// A target that is down resets its callers directly; nothing of it is seen here.
#[test]
fn an_opening_that_nothing_follows_no_longer_counts_as_in_flight() {
    let mut driver = Driver::new();
    for _ in 0..3 {
        let (_, verdict) = driver.offer(0, LOW_PORT, 0);
        assert!(matches!(verdict, Verdict::Place { .. }));
    }
    let service = driver.service();
    assert_eq!(driver.vm.service_in_flight(service), 3);
    for at in [200, 400, 600] {
        driver.vm.tick(ms(at));
    }
    assert_eq!(driver.vm.service_in_flight(service), 0);
}

// Found by the soak: an entry VM that had been paused read an opening of which a
// copy had passed another one, and refused it; the caller's flow was open by then.
#[test]
fn what_lay_unread_during_a_pause_is_not_refused() {
    let mut driver = Driver::new();
    driver.load(0, 2_000, SLOW_MS);
    let resumed = 2_000 + 700;
    for _ in 0..30 {
        let (_, verdict) = driver.offer(resumed, LOW_PORT, 0);
        assert_ne!(verdict, OVERLOADED);
    }
    for at in (resumed..resumed + 1_000).step_by(10) {
        for (_, verdict) in driver.decide(at) {
            assert_ne!(verdict, OVERLOADED);
        }
    }
}

// Found by the soak: its targets answer within a millisecond, and its routes have no
// objective; twice the usual time was taken for overload.
#[test]
fn fast_responses_are_no_sign_of_overload_without_an_objective() {
    let mut driver = Driver::new();
    let route = Route::new(vec![("classes".into(), 1)], RequestKind::Idempotent);
    driver.vm.apply(
        ms(0),
        Change::Routes(RouteTable {
            version: 2,
            routes: [(address(LOW_PORT), route)].into_iter().collect(),
            idle_timeout: Duration::from_secs(15),
        }),
    );
    let before = driver.limit();
    driver.load(0, 100, 1);
    for round in 0..40 {
        let at = 200 + round * 50;
        let (key, verdict) = driver.offer(at, LOW_PORT, 0);
        let placed = driver.placed(key, verdict);
        driver.answer(at + 20, placed);
    }
    assert!(driver.limit() >= before, "{}", driver.limit());
}

// A target dies after the handshake and resets its callers directly.
#[test]
fn a_first_request_that_nothing_follows_no_longer_counts_against_the_limit() {
    let mut driver = Driver::new();
    for _ in 0..3 {
        let (key, verdict) = driver.offer(0, LOW_PORT, 0);
        let placed = driver.placed(key, verdict);
        let packet = acknowledgement(placed.flow, cookie(placed.target), 1_000);
        driver.vm.packet(ms(10), &packet);
    }
    let service = driver.service();
    assert_eq!(driver.vm.service_in_flight(service), 3);
    for at in (200..=800).step_by(200) {
        driver.vm.tick(ms(at));
    }
    assert_eq!(driver.vm.service_in_flight(service), 0);
}

#[test]
fn the_start_and_the_end_of_refusals_are_reported_with_their_inputs() {
    let mut driver = Driver::new();
    driver.load(0, 2_000, SLOW_MS);
    for _ in 0..30 {
        driver.offer(2_001, LOW_PORT, 0);
    }
    driver.decide(2_002);
    let mut reports = Vec::new();
    for at in [2_100, 2_300, 4_500] {
        let mut observations = Vec::new();
        driver.vm.tick(ms(at));
        driver.vm.take_observations(&mut observations);
        for observation in observations {
            if let Observation::Refusing {
                refuses,
                response_time,
                ..
            } = observation
            {
                assert!(response_time > Duration::from_millis(FAST_MS));
                reports.push((at, refuses));
            }
        }
    }
    assert_eq!(reports, [(2_100, true), (4_500, false)]);
}

#[test]
fn an_opening_that_is_refused_leaves_no_flow_behind() {
    let mut driver = Driver::new();
    driver.load(0, 2_000, SLOW_MS);
    let before = driver.vm.flow_count();
    let (mut placed, mut refused) = (0, 0);
    for _ in 0..30 {
        let (_, verdict) = driver.offer(2_001, LOW_PORT, 0);
        placed += usize::from(matches!(verdict, Verdict::Place { .. }));
    }
    for (_, verdict) in driver.decide(2_002) {
        refused += usize::from(verdict == OVERLOADED);
    }
    assert!(refused > 0);
    assert_eq!(driver.vm.flow_count(), before + placed);
}
