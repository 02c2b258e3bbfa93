//! Keeping callers in their own availability zone.

use cicadaweir_core::{
    prelude::*,
    steer::{AnswerTimes, Change, Options, Preference, Steering},
};

use crate::world::{
    BOARD, acknowledgement, close, cookie, data, entry_vm_with, flow, ms, open, opening, roomy,
    routes, target,
};

/// An entry VM in zone `a` with targets of `classes`: so many in each zone,
/// numbered from 1 on.
fn entry_vm_beside(counts: [u64; 3]) -> Steering {
    let options = Options {
        own_share: Options::default().own_share,
        ..roomy()
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

/// Opens flows at the rate of a busy entry VM; returns how many went to each
/// target. Each is closed after half a second.
fn placed(vm: &mut Steering, flows: u16) -> Vec<u32> {
    let mut counts = vec![0; 64];
    for caller in 0..flows {
        let now = ms(u64::from(caller) * 10);
        if let Some(old) = caller.checked_sub(50) {
            close(vm, now, flow(old, BOARD));
        }
        counts[open(vm, now, flow(caller, BOARD)) as usize] += 1;
    }
    counts
}

/// The share of the flows that went to targets of the own zone.
fn own_share(counts: &[u32], own: usize) -> f64 {
    let all: u32 = counts.iter().sum();
    f64::from(counts[1..=own].iter().sum::<u32>()) / f64::from(all)
}

// Replays a calm hour on a site whose zones are alike.
#[test]
fn flows_stay_in_a_zone_with_its_share_of_the_targets() {
    let mut vm = entry_vm_beside([5, 4, 5]);
    let counts = placed(&mut vm, 1_000);
    let own = own_share(&counts, 5);
    assert!(own > 0.75, "{own} of the flows stayed: {counts:?}");
    let mean = counts[1..=5].iter().sum::<u32>() / 5;
    assert!(
        counts[1..=5].iter().all(|n| n.abs_diff(mean) < mean / 10),
        "the own targets are unlike busy: {counts:?}"
    );
}

// Replays arusha-c: fewer targets than the other zones, and more callers.
#[test]
fn a_part_of_the_flows_leaves_a_zone_with_few_targets() {
    let mut vm = entry_vm_beside([1, 10, 10]);
    let counts = placed(&mut vm, 1_000);
    let own = own_share(&counts, 1);
    let fair = 3.0 / 21.0;
    assert!((0.08..=fair).contains(&own), "{own} of the flows stayed");
}

#[test]
fn all_flows_leave_a_zone_without_targets() {
    let mut vm = entry_vm_beside([0, 3, 3]);
    let counts = placed(&mut vm, 300);
    assert!(counts[1..=6].iter().all(|&n| n > 30), "{counts:?}");
}

// Replays a surge in one zone: the entry VM sees too little of it to count
// the requests in flight, but answers take several times as long.
#[test]
fn flows_leave_a_zone_that_answers_more_slowly_than_usual() {
    let mut vm = entry_vm_beside([4, 4, 4]);
    let mut at = 0;
    let mut answer_in = |vm: &mut Steering, took: u64| {
        let mut own = 0;
        for n in 0..200u16 {
            at += 25;
            let key = flow(n, BOARD);
            let to = open(vm, ms(at), key);
            vm.packet(ms(at), &data(key, cookie(to), 101, 1_000));
            let took = if to <= 4 { took } else { 20 };
            vm.packet(ms(at + took), &acknowledgement(key, cookie(to), 2_000));
            close(vm, ms(at + took), key);
            own += u32::from(to <= 4);
        }
        own
    };
    let before = answer_in(&mut vm, 20);
    assert!(before > 150, "{before} of 200 stayed while all was well");
    answer_in(&mut vm, 60);
    let during = answer_in(&mut vm, 60);
    assert!(during < 100, "{during} of 200 stayed in the slow zone");
    answer_in(&mut vm, 20);
    let after = answer_in(&mut vm, 20);
    assert!(after > 150, "{after} of 200 came back");
}

// Replays the crowd after a full stop, which buried the targets of a small
// zone (108 answers of 503 on maonyesho-lb trouble-1).
#[test]
fn no_target_is_buried_while_one_of_another_zone_idles() {
    let options = Options::default();
    let full = (options.busy_per_slot * 2.0) as u32;
    let mut vm = entry_vm_with(3, options);
    for caller in 0..3 * full as u16 {
        open_and_ask(&mut vm, caller);
    }
    let members = vm.directory().targets().filter(|t| t.1.identity.0 <= 3);
    for (key, entry) in members {
        assert_eq!(vm.work(key).in_flight, full, "{}", entry.name);
    }
}

fn open_and_ask(vm: &mut Steering, caller: u16) {
    let key = flow(caller, BOARD);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let n = crate::world::chosen(vm, verdict);
    vm.packet(ms(1), &data(key, cookie(n), 101, 1_000));
}

// One entry VM of two, or one of twenty that each see a tenth of that: the
// same part of the flows leaves.
#[test]
fn the_weight_of_another_zone_grows_with_what_an_entry_vm_sees() {
    let options = Options::default();
    let busy = Preference {
        zones: 3,
        own_targets: 3,
        own_slots: 6,
        slots: 28,
        own_load: 30.0,
    };
    let calm = Preference {
        own_load: 3.0,
        ..busy
    };
    let ratio = busy.weight(&options) / calm.weight(&options);
    assert!((ratio - 10.0).abs() < 0.01, "{ratio}");
    assert_eq!(Preference::default().weight(&options), 0.0);
}

#[test]
fn an_answer_time_counts_only_once_enough_are_known_and_recent() {
    let mut times = AnswerTimes::default();
    for _ in 0..63 {
        times.answered(ms(0), Duration::from_millis(20));
    }
    assert_eq!(times.slowdown(ms(0)), 1.0);
    for _ in 0..300 {
        times.answered(ms(10), Duration::from_millis(60));
    }
    assert!(times.slowdown(ms(10)) > 2.5);
    assert_eq!(times.slowdown(ms(5_011)), 1.0, "old news say nothing");
}
