//! Where new flows go.

use std::collections::HashSet;

use cicadaweir_core::{
    prelude::*,
    steer::{Change, DropReason, Options, ResetReason, Steering, TargetState, Verdict},
};

use crate::world::{
    BOARD, SHEET, acknowledgement, chosen, close, cookie, entry_vm, flow, ms, open, opening, roomy,
    routes, target,
};

#[test]
fn openings_spread_evenly_and_stay_in_their_service() {
    let mut vm = entry_vm(14);
    let mut counts = [0u32; 15];
    for caller in 0..140 {
        let n = open(&mut vm, ms(0), flow(1_000 + caller, BOARD));
        counts[n as usize] += 1;
    }
    assert!(
        counts[1..].iter().all(|&count| (9..=11).contains(&count)),
        "{counts:?}"
    );
    let n = open(&mut vm, ms(0), flow(1, SHEET));
    assert!(n > 100, "target {n} belongs to another service");
}

#[test]
fn a_closed_flow_makes_room_again() {
    let mut vm = entry_vm(2);
    for caller in 0..200 {
        let key = flow(caller, BOARD);
        open(&mut vm, ms(0), key);
        close(&mut vm, ms(0), key);
    }
    for (key, _) in vm.directory().targets() {
        assert_eq!((vm.work(key).open, vm.work(key).in_flight), (0, 0));
    }
}

#[test]
fn a_repeated_opening_goes_to_another_target() {
    let mut vm = entry_vm(14);
    let key = flow(1, BOARD);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let first = chosen(&vm, verdict);
    let verdict = vm.packet(ms(200), &opening(key, 1));
    assert_ne!(chosen(&vm, verdict), first);
    let open: u32 = vm
        .directory()
        .targets()
        .map(|(key, _)| vm.work(key).open)
        .sum();
    assert_eq!(open, 1, "the flow counts once");
}

// The first target answers others, so that nothing speaks against it.
#[test]
fn a_repeated_opening_goes_to_another_target_even_if_the_first_is_trusted() {
    for seed in 0..20 {
        let mut vm = entry_vm(2);
        let other = flow(1_000 + seed, BOARD);
        let busy = open(&mut vm, ms(0), other);
        let mut key = flow(1, BOARD);
        for caller in 1..50 {
            key = flow(caller, BOARD);
            let verdict = vm.packet(ms(0), &opening(key, 0));
            if chosen(&vm, verdict) == busy {
                break;
            }
        }
        vm.packet(ms(100), &acknowledgement(other, cookie(busy), 2_000));
        let verdict = vm.packet(ms(200), &opening(key, 1));
        assert_ne!(chosen(&vm, verdict), busy);
    }
}

#[test]
fn a_repeated_opening_goes_to_the_only_target_again() {
    let mut vm = entry_vm(1);
    let key = flow(1, BOARD);
    vm.packet(ms(0), &opening(key, 0));
    let verdict = vm.packet(ms(200), &opening(key, 1));
    assert_eq!(chosen(&vm, verdict), 1);
}

#[test]
fn targets_that_drain_or_have_departed_get_no_openings() {
    let mut vm = entry_vm(3);
    let mut draining = target(1, "classes", "a");
    draining.state = TargetState::Draining;
    vm.apply(ms(1), Change::Target(draining));
    vm.apply(ms(1), Change::TargetRemoved { name: "i-2".into() });
    let chosen: HashSet<u64> = (0..50)
        .map(|c| open(&mut vm, ms(2), flow(c, BOARD)))
        .collect();
    assert_eq!(chosen, HashSet::from([3]));
    vm.apply(ms(3), Change::TargetRemoved { name: "i-3".into() });
    let verdict = vm.packet(ms(4), &opening(flow(99, BOARD), 0));
    assert_eq!(verdict, Verdict::Reset(ResetReason::NoTarget));
}

#[test]
fn an_unknown_route_is_refused_only_while_the_view_is_fresh() {
    let mut vm = entry_vm(3);
    let unknown = opening(flow(1, 9_999), 0);
    assert_eq!(
        vm.packet(ms(100), &unknown),
        Verdict::Reset(ResetReason::NoRoute)
    );
    let late = ms(100) + Options::default().fresh_view;
    assert_eq!(
        vm.packet(late, &unknown),
        Verdict::Drop(DropReason::RouteUnknown)
    );
    vm.record_store_view(late);
    assert_eq!(
        vm.packet(late, &unknown),
        Verdict::Reset(ResetReason::NoRoute)
    );
}

#[test]
fn a_target_that_warms_up_gets_less() {
    let mut vm = Steering::new(roomy(), "a", 1);
    vm.apply(ms(0), Change::Routes(routes(1)));
    vm.apply(ms(0), Change::Target(target(1, "classes", "a")));
    let mut cold = target(2, "classes", "a");
    cold.warmup_left = Duration::from_secs(10);
    vm.apply(ms(0), Change::Target(cold));
    vm.record_store_view(ms(0));
    let cold = (0..100)
        .filter(|&c| open(&mut vm, ms(1), flow(c, BOARD)) == 2)
        .count();
    assert!((30..48).contains(&cold), "{cold} of 100");
}

#[test]
fn equal_targets_are_drawn_differently_by_different_entry_vms() {
    let first: HashSet<u64> = (0..20)
        .map(|seed| {
            let mut vm = Steering::new(Options::default(), "a", seed);
            vm.apply(ms(0), Change::Routes(routes(1)));
            for n in 1..=8 {
                vm.apply(ms(0), Change::Target(target(n, "classes", "a")));
            }
            let verdict = vm.packet(ms(0), &opening(flow(1, BOARD), 0));
            chosen(&vm, verdict)
        })
        .collect();
    assert!(first.len() > 4, "{first:?}");
}
