//! Placement of openings.

use std::collections::HashSet;

use cicadaweir_core::{
    prelude::*,
    steer::{Change, DropReason, Options, ResetReason, Steering, TargetState, Verdict},
};

use crate::support::{
    DOWNLOAD_PORT, IDEMPOTENT_PORT, acknowledgement, close_flow, cookie, entry_vm, flow, ms,
    open_flow, opening, routes, target, target_number, unlimited_capacity,
};

#[test]
fn openings_spread_evenly_and_stay_in_their_service() {
    let mut vm = entry_vm(14);
    let mut counts = [0u32; 15];
    for caller in 0..140 {
        let n = open_flow(&mut vm, ms(0), flow(1_000 + caller, IDEMPOTENT_PORT));
        counts[n as usize] += 1;
    }
    assert!(
        counts[1..].iter().all(|&count| (9..=11).contains(&count)),
        "{counts:?}"
    );
    let n = open_flow(&mut vm, ms(0), flow(1, DOWNLOAD_PORT));
    assert!(n > 100, "target {n} belongs to another service");
}

#[test]
fn a_closed_flow_releases_its_load() {
    let mut vm = entry_vm(2);
    for caller in 0..200 {
        let key = flow(caller, IDEMPOTENT_PORT);
        open_flow(&mut vm, ms(0), key);
        close_flow(&mut vm, ms(0), key);
    }
    for (key, _) in vm.directory().targets() {
        assert_eq!(
            (vm.target_load(key).open, vm.target_load(key).in_flight),
            (0, 0)
        );
    }
}

#[test]
fn a_retransmitted_opening_goes_to_another_target() {
    let mut vm = entry_vm(14);
    let key = flow(1, IDEMPOTENT_PORT);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let first = target_number(&vm, verdict);
    let verdict = vm.packet(ms(200), &opening(key, 1));
    assert_ne!(target_number(&vm, verdict), first);
    let open: u32 = vm
        .directory()
        .targets()
        .map(|(key, _)| vm.target_load(key).open)
        .sum();
    assert_eq!(open, 1, "the flow must count once");
}

// The first target answers another flow, so it isn't suspected.
#[test]
fn a_retransmitted_opening_goes_to_another_target_even_if_the_first_is_trusted() {
    for seed in 0..20 {
        let mut vm = entry_vm(2);
        let other = flow(1_000 + seed, IDEMPOTENT_PORT);
        let busy = open_flow(&mut vm, ms(0), other);
        let mut key = flow(1, IDEMPOTENT_PORT);
        for caller in 1..50 {
            key = flow(caller, IDEMPOTENT_PORT);
            let verdict = vm.packet(ms(0), &opening(key, 0));
            if target_number(&vm, verdict) == busy {
                break;
            }
        }
        vm.packet(ms(100), &acknowledgement(other, cookie(busy), 2_000));
        let verdict = vm.packet(ms(200), &opening(key, 1));
        assert_ne!(target_number(&vm, verdict), busy);
    }
}

#[test]
fn a_retransmitted_opening_goes_to_the_same_target_if_it_is_the_only_one() {
    let mut vm = entry_vm(1);
    let key = flow(1, IDEMPOTENT_PORT);
    vm.packet(ms(0), &opening(key, 0));
    let verdict = vm.packet(ms(200), &opening(key, 1));
    assert_eq!(target_number(&vm, verdict), 1);
}

#[test]
fn draining_and_departed_targets_get_no_openings() {
    let mut vm = entry_vm(3);
    let mut draining = target(1, "classes", "a");
    draining.state = TargetState::Draining;
    vm.apply(ms(1), Change::Target(draining));
    vm.apply(ms(1), Change::TargetRemoved { name: "i-2".into() });
    let chosen: HashSet<u64> = (0..50)
        .map(|c| open_flow(&mut vm, ms(2), flow(c, IDEMPOTENT_PORT)))
        .collect();
    assert_eq!(chosen, HashSet::from([3]));
    vm.apply(ms(3), Change::TargetRemoved { name: "i-3".into() });
    let verdict = vm.packet(ms(4), &opening(flow(99, IDEMPOTENT_PORT), 0));
    assert_eq!(verdict, Verdict::Reset(ResetReason::NoTarget));
}

#[test]
fn an_unknown_route_is_reset_only_while_the_store_view_is_recent() {
    let mut vm = entry_vm(3);
    let unknown = opening(flow(1, 9_999), 0);
    assert_eq!(
        vm.packet(ms(100), &unknown),
        Verdict::Reset(ResetReason::NoRoute)
    );
    let late = ms(100) + Options::default().max_view_age;
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

// Guards against refusals of openings on a route that was added more than 3 s ago: the view is
// older than the route, though young enough for other resets
// (docs/incidents/refused-new-route.md).
#[test]
fn an_unknown_route_is_not_reset_by_a_view_that_may_lack_a_route_in_force() {
    let mut vm = entry_vm(3);
    let unknown = opening(flow(1, 9_999), 0);
    let verdict = vm.packet(ms(3_000), &unknown);
    assert_eq!(verdict, Verdict::Drop(DropReason::RouteUnknown));
}

#[test]
fn a_target_that_warms_up_gets_fewer_flows() {
    let mut vm = Steering::new(unlimited_capacity(), "a", 1);
    vm.apply(ms(0), Change::Routes(routes(1)));
    vm.apply(ms(0), Change::Target(target(1, "classes", "a")));
    let mut cold = target(2, "classes", "a");
    cold.warmup_left = Duration::from_secs(10);
    vm.apply(ms(0), Change::Target(cold));
    vm.record_store_view(ms(0));
    let cold = (0..100)
        .filter(|&c| open_flow(&mut vm, ms(1), flow(c, IDEMPOTENT_PORT)) == 2)
        .count();
    assert!(
        (30..48).contains(&cold),
        "{cold} of 100 flows went to the target that warms up"
    );
}

#[test]
fn entry_vms_choose_differently_among_equal_targets() {
    let first: HashSet<u64> = (0..20)
        .map(|seed| {
            let mut vm = Steering::new(Options::default(), "a", seed);
            vm.apply(ms(0), Change::Routes(routes(1)));
            for n in 1..=8 {
                vm.apply(ms(0), Change::Target(target(n, "classes", "a")));
            }
            let verdict = vm.packet(ms(0), &opening(flow(1, IDEMPOTENT_PORT), 0));
            target_number(&vm, verdict)
        })
        .collect();
    assert!(first.len() > 4, "{first:?}");
}
