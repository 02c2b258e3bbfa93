//! Affinity of flows to the local availability zone.

use cicadaweir_core::{
    prelude::*,
    steer::{Change, Options, ResponseTimes, Steering, ZoneAffinity},
};

use crate::support::{
    IDEMPOTENT_PORT, acknowledgement, close_flow, cookie, data, entry_vm_with, flow, ms, open_flow,
    opening, routes, target, unlimited_admission, unlimited_capacity,
};

/// Returns an entry VM in zone `a` with targets of `classes`, numbered from 1:
/// `counts` of them in the zones `a`, `b` and `c`.
fn entry_vm_with_zone_targets(counts: [u64; 3]) -> Steering {
    let options = Options {
        local_share: Options::default().local_share,
        ..unlimited_capacity()
    };
    let mut vm = Steering::new(options, "a", 1);
    vm.apply(ms(0), Change::Routes(routes(1)));
    let mut n = 0;
    for (zone, count) in ["a", "b", "c"].into_iter().zip(counts) {
        for _ in 0..count {
            n += 1;
            vm.apply(ms(0), Change::Target(target(n, "classes", zone)));
        }
    }
    vm.record_store_view(ms(0));
    vm
}

/// Opens flows at the rate of a busy entry VM, and closes each after half a
/// second. Returns the number of flows for each target.
fn place_flows(vm: &mut Steering, flows: u16) -> Vec<u32> {
    let mut counts = vec![0; 64];
    for caller in 0..flows {
        let now = ms(u64::from(caller) * 10);
        if let Some(old) = caller.checked_sub(50) {
            close_flow(vm, now, flow(old, IDEMPOTENT_PORT));
        }
        counts[open_flow(vm, now, flow(caller, IDEMPOTENT_PORT)) as usize] += 1;
    }
    counts
}

/// Returns the fraction of the flows that went to the first `local` targets,
/// which are those of the local zone.
fn local_share(counts: &[u32], local: usize) -> f64 {
    let all: u32 = counts.iter().sum();
    f64::from(counts[1..=local].iter().sum::<u32>()) / f64::from(all)
}

// Normal load on a site with similar zones.
#[test]
fn flows_stay_in_a_zone_with_its_share_of_the_targets() {
    let mut vm = entry_vm_with_zone_targets([5, 4, 5]);
    let counts = place_flows(&mut vm, 1_000);
    let local = local_share(&counts, 5);
    assert!(local > 0.75, "{local} of the flows stayed: {counts:?}");
    let mean = counts[1..=5].iter().sum::<u32>() / 5;
    assert!(
        counts[1..=5].iter().all(|n| n.abs_diff(mean) < mean / 10),
        "the local targets are loaded unevenly: {counts:?}"
    );
}

// Conditions of zone arusha-c: fewer targets than the other zones, and more callers.
#[test]
fn a_part_of_the_flows_leaves_a_zone_with_few_targets() {
    let mut vm = entry_vm_with_zone_targets([1, 10, 10]);
    let counts = place_flows(&mut vm, 1_000);
    let local = local_share(&counts, 1);
    let fair = 3.0 / 21.0;
    assert!(
        (0.08..=fair).contains(&local),
        "{local} of the flows stayed"
    );
}

#[test]
fn all_flows_leave_a_zone_without_targets() {
    let mut vm = entry_vm_with_zone_targets([0, 3, 3]);
    let counts = place_flows(&mut vm, 300);
    assert!(counts[1..=6].iter().all(|&n| n > 30), "{counts:?}");
}

// A load surge in one zone: the entry VM sees too few of the requests for its
// count of those in flight to rise, but responses take several times as long.
#[test]
fn flows_leave_a_zone_that_answers_more_slowly_than_usual() {
    let mut vm = entry_vm_with_zone_targets([4, 4, 4]);
    let mut at = 0;
    let mut run_requests = |vm: &mut Steering, took: u64| {
        let mut local = 0;
        for n in 0..200u16 {
            at += 25;
            let key = flow(n, IDEMPOTENT_PORT);
            let to = open_flow(vm, ms(at), key);
            vm.packet(ms(at), &data(key, cookie(to), 101, 1_000));
            let took = if to <= 4 { took } else { 20 };
            vm.packet(ms(at + took), &acknowledgement(key, cookie(to), 2_000));
            close_flow(vm, ms(at + took), key);
            local += u32::from(to <= 4);
        }
        local
    };
    let before = run_requests(&mut vm, 20);
    assert!(
        before > 150,
        "{before} of 200 flows stayed at the usual response time"
    );
    run_requests(&mut vm, 60);
    let during = run_requests(&mut vm, 60);
    assert!(
        during < 100,
        "{during} of 200 flows stayed in the slow zone"
    );
    run_requests(&mut vm, 20);
    let after = run_requests(&mut vm, 20);
    assert!(
        after > 150,
        "{after} of 200 flows stayed after the slowdown"
    );
}

// Regression: the load after a full stop of the entry VMs overloaded the targets
// of a small zone (108 responses with status 503 on maonyesho-lb trouble-1).
#[test]
fn no_target_is_overloaded_while_those_of_other_zones_are_idle() {
    let options = unlimited_admission();
    let full = (options.busy_per_slot * 2.0) as u32;
    let mut vm = entry_vm_with(3, options);
    for caller in 0..3 * full as u16 {
        open_flow_and_send_request(&mut vm, caller);
    }
    let targets = vm.directory().targets().filter(|t| t.1.identity.0 <= 3);
    for (key, entry) in targets {
        assert_eq!(vm.target_load(key).in_flight, full, "{}", entry.name);
    }
}

fn open_flow_and_send_request(vm: &mut Steering, caller: u16) {
    let key = flow(caller, IDEMPOTENT_PORT);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let n = crate::support::target_number(vm, verdict);
    vm.packet(ms(1), &data(key, cookie(n), 101, 1_000));
}

// The same fraction of the flows must leave the zone at one entry VM of two and
// at one of twenty, which sees a tenth of the load.
#[test]
fn the_zone_penalty_is_proportional_to_the_observed_load() {
    let options = unlimited_admission();
    let busy = ZoneAffinity {
        zones: 3,
        local_targets: 3,
        local_slots: 6,
        slots: 28,
        local_load: 30.0,
    };
    let idle = ZoneAffinity {
        local_load: 3.0,
        ..busy
    };
    let ratio = busy.penalty(&options) / idle.penalty(&options);
    assert!((ratio - 10.0).abs() < 0.01, "{ratio}");
    assert_eq!(ZoneAffinity::default().penalty(&options), 0.0);
}

#[test]
fn a_slowdown_requires_enough_recent_responses() {
    let mut times = ResponseTimes::default();
    for _ in 0..63 {
        times.record(ms(0), Duration::from_millis(20));
    }
    assert_eq!(times.slowdown(ms(0)), 1.0);
    for _ in 0..300 {
        times.record(ms(10), Duration::from_millis(60));
    }
    assert!(times.slowdown(ms(10)) > 2.5);
    assert_eq!(
        times.slowdown(ms(5_011)),
        1.0,
        "responses from more than 5 s ago don't count"
    );
}
