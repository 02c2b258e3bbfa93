//! Packets of open flows.

use cicadaweir_core::{
    packet::PacketKind,
    prelude::*,
    steer::{
        Change, Cookie, DropReason, Observation, Options, RequestKind, ResetReason, RouteStatus,
        Segment, Steering, Verdict,
    },
};

use crate::support::{
    AT_MOST_ONCE_PORT, DOWNLOAD_PORT, IDEMPOTENT_PORT, acknowledgement, address, cookie, data,
    entry_vm, flow, ms, open_flow, opening, routes, target, target_number, unlimited_capacity,
};

#[test]
fn any_entry_vm_forwards_by_cookie() {
    let mut first = entry_vm(14);
    let key = flow(1, IDEMPOTENT_PORT);
    let n = open_flow(&mut first, ms(0), key);
    let mut other = entry_vm(14);
    let verdict = other.packet(ms(10), &data(key, cookie(n), 101, 1_000));
    assert!(matches!(verdict, Verdict::Forward { adopted: true, .. }));
    assert_eq!(target_number(&other, verdict), n);
    let verdict = other.packet(ms(11), &data(key, cookie(n), 102, 1_000));
    assert!(matches!(verdict, Verdict::Forward { adopted: false, .. }));
}

#[test]
fn a_flow_keeps_its_target_when_load_and_targets_change() {
    let mut vm = entry_vm(3);
    let key = flow(1, IDEMPOTENT_PORT);
    let n = open_flow(&mut vm, ms(0), key);
    for other in 4..40 {
        vm.apply(ms(1), Change::Target(target(other, "classes", "b")));
    }
    vm.apply(
        ms(2),
        Change::TargetRemoved {
            name: format!("i-{n:x}").into(),
        },
    );
    let verdict = vm.packet(ms(3), &data(key, cookie(n), 101, 1_000));
    assert_eq!(target_number(&vm, verdict), n);
}

#[test]
fn a_flow_goes_to_the_target_whose_answer_its_caller_accepted() {
    let mut vm = entry_vm(14);
    let key = flow(1, IDEMPOTENT_PORT);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let first = target_number(&vm, verdict);
    let verdict = vm.packet(ms(200), &opening(key, 1));
    let second = target_number(&vm, verdict);
    let verdict = vm.packet(ms(210), &acknowledgement(key, cookie(first), 1_000));
    assert_eq!(target_number(&vm, verdict), first);
    let verdict = vm.packet(ms(220), &data(key, cookie(second), 101, 1_000));
    assert_eq!(
        target_number(&vm, verdict),
        first,
        "a later cookie must not move the flow"
    );
}

// Regression, found by the property test: an entry VM got the retransmission of
// an opening, and the caller accepted the answer of a target that this entry VM
// doesn't know yet.
#[test]
fn packets_to_an_unknown_target_are_dropped_rather_than_redirected() {
    let mut vm = entry_vm(3);
    let key = flow(1, IDEMPOTENT_PORT);
    vm.packet(ms(0), &opening(key, 1));
    let packet = data(key, cookie(77), 101, 1_000);
    assert_eq!(
        vm.packet(ms(10), &packet),
        Verdict::Drop(DropReason::TargetUnknown)
    );
    vm.apply(ms(20), Change::Target(target(77, "classes", "a")));
    let verdict = vm.packet(ms(30), &packet);
    assert_eq!(target_number(&vm, verdict), 77);
}

#[test]
fn a_late_opening_goes_to_the_target_of_its_flow() {
    let mut vm = entry_vm(14);
    let key = flow(1, IDEMPOTENT_PORT);
    let n = open_flow(&mut vm, ms(0), key);
    let verdict = vm.packet(ms(200), &opening(key, 1));
    assert_eq!(target_number(&vm, verdict), n);
}

#[test]
fn packets_with_an_unknown_cookie_or_one_of_another_service_are_dropped() {
    let mut vm = entry_vm(3);
    let forged = data(flow(1, IDEMPOTENT_PORT), Cookie(0xdead_beef), 101, 1_000);
    assert_eq!(
        vm.packet(ms(0), &forged),
        Verdict::Drop(DropReason::TargetUnknown)
    );
    let none = data(flow(1, IDEMPOTENT_PORT), Cookie::NONE, 101, 1_000);
    assert_eq!(
        vm.packet(ms(0), &none),
        Verdict::Drop(DropReason::TargetUnknown)
    );
    let other = data(flow(1, DOWNLOAD_PORT), cookie(1), 101, 1_000);
    assert_eq!(
        vm.packet(ms(0), &other),
        Verdict::Drop(DropReason::OtherService)
    );
    let answer = Segment {
        kind: PacketKind::OpeningAnswer,
        ..opening(flow(1, IDEMPOTENT_PORT), 0)
    };
    assert_eq!(
        vm.packet(ms(0), &answer),
        Verdict::Drop(DropReason::Unexpected)
    );
}

#[test]
fn a_flow_of_a_removed_route_is_reset_where_it_is_not_remembered() {
    let mut vm = entry_vm(3);
    let key = flow(1, IDEMPOTENT_PORT);
    let n = open_flow(&mut vm, ms(0), key);
    let mut fewer = routes(2);
    fewer.routes.shift_remove(&key.address);
    vm.apply(ms(1), Change::Routes(fewer));
    let mut other = entry_vm(3);
    other.apply(
        ms(1),
        Change::Routes({
            let mut fewer = routes(2);
            fewer.routes.shift_remove(&key.address);
            fewer
        }),
    );
    let packet = data(key, cookie(n), 101, 1_000);
    assert_eq!(
        other.packet(ms(2), &packet),
        Verdict::Reset(ResetReason::NoRoute)
    );
    let verdict = vm.packet(ms(2), &packet);
    assert_eq!(
        target_number(&vm, verdict),
        n,
        "the entry VM that remembers the flow keeps forwarding it"
    );
}

// Guards against resets of open flows on a route that was just added, by an entry VM whose
// configuration is older than the route (docs/incidents/unknown-route.md).
#[test]
fn a_flow_of_a_route_that_is_not_known_yet_is_not_reset() {
    let mut vm = entry_vm(3);
    let key = flow(1, 9_999);
    let packet = data(key, cookie(2), 101, 1_000);
    let verdict = vm.packet(ms(2), &packet);
    assert_eq!(verdict, Verdict::Drop(DropReason::RouteUnknown));
    let mut more = routes(2);
    let route = more.routes[&address(AT_MOST_ONCE_PORT)].clone();
    more.routes.insert(key.address, route);
    vm.apply(ms(100), Change::Routes(more));
    let verdict = vm.packet(ms(202), &packet);
    assert_eq!(target_number(&vm, verdict), 2);
}

#[test]
fn a_dropped_route_is_forgotten_when_it_is_added_again_or_after_the_longest_flow() {
    let address = address(IDEMPOTENT_PORT);
    let mut fewer = routes(2);
    fewer.routes.shift_remove(&address);
    let mut vm = entry_vm(3);
    let service = vm.directory().route(&address, 0).expect("a route").service;
    let status = |vm: &Steering| vm.directory().route_status(&address, service);
    vm.apply(ms(1), Change::Routes(fewer.clone()));
    assert_eq!(status(&vm), RouteStatus::Dropped);
    vm.apply(ms(2), Change::Routes(routes(3)));
    assert_eq!(status(&vm), RouteStatus::Allowed(RequestKind::Idempotent));
    fewer.version = 4;
    vm.apply(ms(3), Change::Routes(fewer));
    let end = ms(3) + Options::default().flow_ttl;
    vm.tick(end);
    assert_eq!(status(&vm), RouteStatus::Dropped);
    vm.tick(end + Duration::from_millis(1));
    assert_eq!(status(&vm), RouteStatus::Unknown);
}

#[test]
fn requests_in_flight_follow_the_requests_and_responses_of_a_long_flow() {
    let mut vm = entry_vm(3);
    let key = flow(1, IDEMPOTENT_PORT);
    let n = open_flow(&mut vm, ms(0), key);
    let target = vm.directory().by_cookie(cookie(n)).expect("known");
    vm.packet(ms(1), &data(key, cookie(n), 101, 1_000));
    assert_eq!(vm.target_load(target).in_flight, 1);
    vm.packet(ms(30), &acknowledgement(key, cookie(n), 3_000));
    assert_eq!(vm.target_load(target).in_flight, 0);
    vm.packet(ms(500), &data(key, cookie(n), 201, 3_000));
    assert_eq!(vm.target_load(target).in_flight, 1);
    let mut observations = Vec::new();
    vm.take_observations(&mut observations);
    let took = Duration::from_millis(30);
    assert!(
        observations.contains(&Observation::RequestAnswered { took }),
        "{observations:?}"
    );
}

#[test]
fn a_retransmitted_request_is_observed_with_its_flow() {
    let mut vm = entry_vm(3);
    let key = flow(1, IDEMPOTENT_PORT);
    let n = open_flow(&mut vm, ms(0), key);
    for at in [10, 210] {
        vm.packet(ms(at), &data(key, cookie(n), 101, 1_000));
    }
    let mut observations = Vec::new();
    vm.take_observations(&mut observations);
    let target = vm.directory().by_cookie(cookie(n)).expect("known");
    let waited = Duration::from_millis(200);
    let expected = Observation::Retransmitted {
        flow: key,
        target,
        waited,
    };
    assert!(observations.contains(&expected), "{observations:?}");
}

#[test]
fn idle_flows_and_unanswered_openings_are_evicted_with_their_load() {
    let mut vm = entry_vm(3);
    let n = open_flow(&mut vm, ms(0), flow(1, IDEMPOTENT_PORT));
    vm.packet(ms(1), &opening(flow(2, AT_MOST_ONCE_PORT), 0));
    assert_eq!(vm.flow_count(), 2);
    let end = ms(1) + Options::default().flow_ttl + Duration::from_millis(5);
    vm.tick(ms(10_000));
    assert_eq!(vm.flow_count(), 1, "the unanswered opening has expired");
    vm.tick(end);
    assert_eq!(vm.flow_count(), 0);
    let target = vm.directory().by_cookie(cookie(n)).expect("known");
    assert_eq!(
        (
            vm.target_load(target).open,
            vm.target_load(target).in_flight
        ),
        (0, 0)
    );
}

#[test]
fn flows_beyond_the_limit_are_steered_by_cookie_alone() {
    let mut vm = cicadaweir_core::steer::Steering::new(
        Options {
            max_flows: 2,
            ..unlimited_capacity()
        },
        "a",
        1,
    );
    vm.apply(ms(0), Change::Routes(routes(1)));
    vm.apply(ms(0), Change::Target(target(1, "classes", "a")));
    for caller in 0..5 {
        let key = flow(caller, IDEMPOTENT_PORT);
        let verdict = vm.packet(ms(0), &opening(key, 0));
        let n = target_number(&vm, verdict);
        let verdict = vm.packet(ms(1), &data(key, cookie(n), 101, 1_000));
        assert_eq!(target_number(&vm, verdict), n);
    }
    assert_eq!(vm.flow_count(), 2);
}
