//! Packets of flows that are open.

use cicadaweir_core::{
    packet::PacketKind,
    prelude::*,
    steer::{Change, Cookie, DropReason, Observation, Options, ResetReason, Segment, Verdict},
};

use crate::world::{
    BOARD, BOOKING, SHEET, acknowledgement, chosen, cookie, data, entry_vm, flow, ms, open,
    opening, roomy, routes, target,
};

#[test]
fn any_entry_vm_follows_the_cookie() {
    let mut first = entry_vm(14);
    let key = flow(1, BOARD);
    let n = open(&mut first, ms(0), key);
    let mut other = entry_vm(14);
    let verdict = other.packet(ms(10), &data(key, cookie(n), 101, 1_000));
    assert!(matches!(verdict, Verdict::Forward { adopted: true, .. }));
    assert_eq!(chosen(&other, verdict), n);
    let verdict = other.packet(ms(11), &data(key, cookie(n), 102, 1_000));
    assert!(matches!(verdict, Verdict::Forward { adopted: false, .. }));
}

#[test]
fn a_flow_keeps_its_target_when_load_and_targets_change() {
    let mut vm = entry_vm(3);
    let key = flow(1, BOARD);
    let n = open(&mut vm, ms(0), key);
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
    assert_eq!(chosen(&vm, verdict), n);
}

#[test]
fn the_caller_decides_between_two_targets_that_answered() {
    let mut vm = entry_vm(14);
    let key = flow(1, BOARD);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let slow = chosen(&vm, verdict);
    let verdict = vm.packet(ms(200), &opening(key, 1));
    let quick = chosen(&vm, verdict);
    let verdict = vm.packet(ms(210), &acknowledgement(key, cookie(slow), 1_000));
    assert_eq!(chosen(&vm, verdict), slow);
    let verdict = vm.packet(ms(220), &data(key, cookie(quick), 101, 1_000));
    assert_eq!(
        chosen(&vm, verdict),
        slow,
        "a later cookie does not move the flow"
    );
}

// Found by the property over seeds: the copy of an opening came here, and the
// caller took the answer of a target that is not known here yet.
#[test]
fn a_caller_that_chose_an_unknown_target_is_not_sent_to_another() {
    let mut vm = entry_vm(3);
    let key = flow(1, BOARD);
    vm.packet(ms(0), &opening(key, 1));
    let packet = data(key, cookie(77), 101, 1_000);
    assert_eq!(
        vm.packet(ms(10), &packet),
        Verdict::Drop(DropReason::TargetUnknown)
    );
    vm.apply(ms(20), Change::Target(target(77, "classes", "a")));
    let verdict = vm.packet(ms(30), &packet);
    assert_eq!(chosen(&vm, verdict), 77);
}

#[test]
fn an_opening_that_comes_late_follows_its_flow() {
    let mut vm = entry_vm(14);
    let key = flow(1, BOARD);
    let n = open(&mut vm, ms(0), key);
    let verdict = vm.packet(ms(200), &opening(key, 1));
    assert_eq!(chosen(&vm, verdict), n);
}

#[test]
fn cookies_of_nobody_and_of_other_services_lead_nowhere() {
    let mut vm = entry_vm(3);
    let forged = data(flow(1, BOARD), Cookie(0xdead_beef), 101, 1_000);
    assert_eq!(
        vm.packet(ms(0), &forged),
        Verdict::Drop(DropReason::TargetUnknown)
    );
    let none = data(flow(1, BOARD), Cookie::NONE, 101, 1_000);
    assert_eq!(
        vm.packet(ms(0), &none),
        Verdict::Drop(DropReason::TargetUnknown)
    );
    let other = data(flow(1, SHEET), cookie(1), 101, 1_000);
    assert_eq!(
        vm.packet(ms(0), &other),
        Verdict::Drop(DropReason::OtherService)
    );
    let answer = Segment {
        kind: PacketKind::OpeningAnswer,
        ..opening(flow(1, BOARD), 0)
    };
    assert_eq!(
        vm.packet(ms(0), &answer),
        Verdict::Drop(DropReason::Unexpected)
    );
}

#[test]
fn a_flow_of_a_dropped_route_is_reset_once_the_drop_is_known() {
    let mut vm = entry_vm(3);
    let key = flow(1, BOARD);
    let n = open(&mut vm, ms(0), key);
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
        chosen(&vm, verdict),
        n,
        "the entry VM that knows the flow lets it end"
    );
}

#[test]
fn work_in_flight_follows_requests_and_answers_inside_a_long_flow() {
    let mut vm = entry_vm(3);
    let key = flow(1, BOARD);
    let n = open(&mut vm, ms(0), key);
    let target = vm.directory().by_cookie(cookie(n)).expect("known");
    vm.packet(ms(1), &data(key, cookie(n), 101, 1_000));
    assert_eq!(vm.work(target).in_flight, 1);
    vm.packet(ms(30), &acknowledgement(key, cookie(n), 3_000));
    assert_eq!(vm.work(target).in_flight, 0);
    vm.packet(ms(500), &data(key, cookie(n), 201, 3_000));
    assert_eq!(vm.work(target).in_flight, 1);
    let mut seen = Vec::new();
    vm.take_observations(&mut seen);
    let took = Duration::from_millis(30);
    assert!(
        seen.contains(&Observation::RequestAnswered { took }),
        "{seen:?}"
    );
}

#[test]
fn a_repeated_request_is_told_with_its_flow() {
    let mut vm = entry_vm(3);
    let key = flow(1, BOARD);
    let n = open(&mut vm, ms(0), key);
    for at in [10, 210] {
        vm.packet(ms(at), &data(key, cookie(n), 101, 1_000));
    }
    let mut seen = Vec::new();
    vm.take_observations(&mut seen);
    let target = vm.directory().by_cookie(cookie(n)).expect("known");
    let waited = Duration::from_millis(200);
    let told = Observation::Retransmitted {
        flow: key,
        target,
        waited,
    };
    assert!(seen.contains(&told), "{seen:?}");
}

#[test]
fn idle_and_closed_flows_are_forgotten_and_their_work_with_them() {
    let mut vm = entry_vm(3);
    let n = open(&mut vm, ms(0), flow(1, BOARD));
    vm.packet(ms(1), &opening(flow(2, BOOKING), 0));
    assert_eq!(vm.flow_count(), 2);
    let end = ms(1) + Options::default().flow_ttl + Duration::from_millis(5);
    vm.tick(ms(10_000));
    assert_eq!(vm.flow_count(), 1, "the opening is over");
    vm.tick(end);
    assert_eq!(vm.flow_count(), 0);
    let target = vm.directory().by_cookie(cookie(n)).expect("known");
    assert_eq!((vm.work(target).open, vm.work(target).in_flight), (0, 0));
}

#[test]
fn flows_beyond_the_bound_go_by_cookie_alone() {
    let mut vm = cicadaweir_core::steer::Steering::new(
        Options {
            max_flows: 2,
            ..roomy()
        },
        "a",
        1,
    );
    vm.apply(ms(0), Change::Routes(routes(1)));
    vm.apply(ms(0), Change::Target(target(1, "classes", "a")));
    for caller in 0..5 {
        let key = flow(caller, BOARD);
        let verdict = vm.packet(ms(0), &opening(key, 0));
        let n = chosen(&vm, verdict);
        let verdict = vm.packet(ms(1), &data(key, cookie(n), 101, 1_000));
        assert_eq!(chosen(&vm, verdict), n);
    }
    assert_eq!(vm.flow_count(), 2);
}
