//! Targets and availability zones that no longer answer.

use cicadaweir_core::{
    prelude::*,
    steer::{Change, Options, ResetReason, Steering, Trust, Verdict},
};

use crate::world::{
    BOARD, BOOKING, acknowledgement, chosen, close, cookie, data, entry_vm, entry_vm_with, flow,
    ms, open, open_at, opening, roomy,
};

fn trust(vm: &Steering, now: Instant, n: u64) -> Trust {
    let key = vm.directory().by_cookie(cookie(n)).expect("a known target");
    vm.trust(now, key)
}

/// A request that is repeated until the flow is reset, or three times.
fn repeat(vm: &mut Steering, from: u64, key: FlowKey, n: u64) -> Option<ResetReason> {
    for after in [0, 200, 600, 1_400] {
        vm.record_store_view(ms(from + after));
        let packet = data(key, cookie(n), 101, 1_000);
        if let Verdict::Reset(reason) = vm.packet(ms(from + after), &packet) {
            return Some(reason);
        }
    }
    None
}

/// Another target answers, so that silence is not this entry VM's own.
fn answer_elsewhere(vm: &mut Steering, at: u64, not: &[u64], caller: u16) {
    for caller in caller..caller + 50 {
        let key = flow(caller, BOARD);
        let verdict = vm.packet(ms(at), &opening(key, 0));
        let n = chosen(vm, verdict);
        if !not.contains(&n) {
            vm.packet(ms(at + 1), &acknowledgement(key, cookie(n), 1_000));
            close(vm, ms(at + 2), key);
            return;
        }
    }
    panic!("no other target was chosen");
}

#[test]
fn a_repeated_opening_makes_its_target_suspected_and_an_answer_clears_it() {
    let mut vm = entry_vm(14);
    let key = flow(1, BOARD);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let n = chosen(&vm, verdict);
    vm.packet(ms(200), &opening(key, 1));
    assert_eq!(trust(&vm, ms(200), n), Trust::Suspected);
    assert_eq!(trust(&vm, ms(1_800), n), Trust::Probation);
    let mut tried = 0;
    for caller in 10..30 {
        let verdict = vm.packet(ms(1_800), &opening(flow(caller, BOARD), 0));
        tried += u32::from(chosen(&vm, verdict) == n);
    }
    assert_eq!(tried, 1, "one flow tries a target on trial");
    let key = flow(10, BOARD);
    vm.packet(ms(1_810), &acknowledgement(key, cookie(n), 1_000));
    assert_eq!(trust(&vm, ms(1_810), n), Trust::Trusted);
}

#[test]
fn a_target_that_answers_nobody_has_its_flows_reset_where_requests_may_repeat() {
    let mut vm = entry_vm(6);
    let board = open_at(&mut vm, ms(0), BOARD, 2, 100);
    let booking = open_at(&mut vm, ms(0), BOOKING, 2, 3_000);
    answer_elsewhere(&mut vm, 350, &[2], 9_000);
    assert_eq!(
        repeat(&mut vm, 300, board, 2),
        Some(ResetReason::TargetSilent)
    );
    assert_eq!(
        repeat(&mut vm, 400, booking, 2),
        None,
        "a booking may have run"
    );
}

#[test]
fn a_lost_packet_or_two_are_no_proof() {
    let mut vm = entry_vm(6);
    let key = open_at(&mut vm, ms(0), BOARD, 2, 100);
    answer_elsewhere(&mut vm, 350, &[2], 9_000);
    for at in [300, 500, 900] {
        let verdict = vm.packet(ms(at), &data(key, cookie(2), 101, 1_000));
        assert_eq!(chosen(&vm, verdict), 2);
    }
}

#[test]
fn silence_of_everybody_is_no_proof_against_anybody() {
    let mut vm = entry_vm(6);
    let keys: Vec<(FlowKey, u64)> = (1..=6)
        .map(|n| (open_at(&mut vm, ms(0), BOARD, n, n as u16 * 4_000), n))
        .collect();
    for (key, n) in keys {
        assert_eq!(repeat(&mut vm, 300, key, n), None);
    }
}

// Replays compas-quito trouble-1: while a zone was cut off, each entry VM
// lost a caller's opening there every 1.5 s, though its own zone had room.
#[test]
fn a_suspected_target_far_away_is_not_tried_while_near_ones_have_room() {
    let options = Options {
        own_share: Options::default().own_share,
        ..roomy()
    };
    let mut vm = entry_vm_with(6, options);
    let mut other = 2;
    let far = loop {
        let n = open(&mut vm, ms(0), flow(other, BOARD));
        if n % 3 != 1 {
            break n;
        }
        other += 1;
    };
    for at in [10, 210] {
        vm.packet(ms(at), &data(flow(other, BOARD), cookie(far), 101, 1_000));
    }
    assert_eq!(trust(&vm, ms(1_800), far), Trust::Probation);
    let tried = (10..12).filter(|&caller| {
        let verdict = vm.packet(ms(1_800), &opening(flow(caller, BOARD), 0));
        chosen(&vm, verdict) == far
    });
    assert_eq!(tried.count(), 0);
}

// Replays compas-quito trouble-1: a flow passed another entry VM for a while
// and came back with acknowledgements that it had made there.
#[test]
fn an_answer_from_before_a_flow_came_back_clears_nobody() {
    let mut vm = entry_vm(6);
    let wanderer = open_at(&mut vm, ms(0), BOARD, 2, 100);
    let key = open_at(&mut vm, ms(0), BOARD, 2, 5_000);
    vm.packet(ms(3_000), &data(key, cookie(2), 101, 1_000));
    vm.packet(ms(3_200), &data(key, cookie(2), 101, 1_000));
    assert_eq!(trust(&vm, ms(3_200), 2), Trust::Suspected);
    vm.packet(ms(3_300), &acknowledgement(wanderer, cookie(2), 9_000));
    assert_eq!(trust(&vm, ms(3_300), 2), Trust::Suspected);
    vm.packet(ms(3_310), &data(wanderer, cookie(2), 500, 9_000));
    vm.packet(ms(3_340), &acknowledgement(wanderer, cookie(2), 10_000));
    assert_eq!(trust(&vm, ms(3_340), 2), Trust::Trusted);
}

// Found on maonyesho-lb, trouble-2: two of a zone's three targets died, and a
// flow of the third was reset on its first packet after a pause.
#[test]
fn two_dead_targets_of_a_zone_prove_nothing_against_the_third() {
    let mut vm = entry_vm(9);
    let paused = open_at(&mut vm, ms(0), BOARD, 7, 100);
    for n in [1, 4] {
        let key = open_at(&mut vm, ms(0), BOARD, n, n as u16 * 5_000);
        answer_elsewhere(&mut vm, 320, &[1, 4, 7], n as u16 * 5_000 + 3_000);
        repeat(&mut vm, 300, key, n);
    }
    let verdict = vm.packet(ms(1_750), &data(paused, cookie(7), 101, 1_000));
    assert_eq!(chosen(&vm, verdict), 7);
}

// Found on maonyesho-lb, mix --seed 357841786706: an entry VM kept what it had
// seen during a cut, and 4.8 s after its end reset a flow that had paused.
#[test]
fn old_strikes_are_no_proof() {
    let mut vm = entry_vm(6);
    let paused = open_at(&mut vm, ms(0), BOARD, 2, 100);
    let key = open_at(&mut vm, ms(0), BOARD, 2, 3_000);
    answer_elsewhere(&mut vm, 350, &[2], 9_000);
    assert_eq!(
        repeat(&mut vm, 300, key, 2),
        Some(ResetReason::TargetSilent)
    );
    let verdict = vm.packet(ms(6_000), &data(paused, cookie(2), 101, 1_000));
    assert_eq!(chosen(&vm, verdict), 2);
    let verdict = vm.packet(ms(6_200), &data(paused, cookie(2), 101, 1_000));
    assert_eq!(
        chosen(&vm, verdict),
        2,
        "one repetition after a pause is no proof"
    );
}

#[test]
fn packets_that_piled_up_while_the_process_stood_still_are_no_proof() {
    let mut vm = entry_vm(6);
    let key = open_at(&mut vm, ms(0), BOARD, 2, 100);
    answer_elsewhere(&mut vm, 3_000, &[2], 9_000);
    for _ in 0..5 {
        let verdict = vm.packet(ms(3_001), &data(key, cookie(2), 101, 1_000));
        assert_eq!(chosen(&vm, verdict), 2);
    }
    assert_eq!(trust(&vm, ms(3_001), 2), Trust::Trusted);
}

#[test]
fn a_zone_that_is_cut_off_is_avoided_as_a_whole_and_tried_by_one_flow_at_a_time() {
    let mut vm = entry_vm(12);
    let silent = [2, 5, 8, 11];
    for n in [2, 5] {
        let key = open_at(&mut vm, ms(0), BOARD, n, n as u16 * 5_000);
        answer_elsewhere(&mut vm, 400, &silent, n as u16 * 5_000 + 3_000);
        vm.packet(ms(300), &data(key, cookie(n), 101, 1_000));
        vm.packet(ms(500), &data(key, cookie(n), 101, 1_000));
    }
    for caller in 20_000..20_100 {
        let n = open(&mut vm, ms(600), flow(caller, BOARD));
        assert!(
            !silent.contains(&n),
            "target {n} lies in the zone that is cut off"
        );
    }
    let tried = (30_000..30_050).filter(|&caller| {
        let verdict = vm.packet(ms(2_100), &opening(flow(caller, BOARD), 0));
        silent.contains(&chosen(&vm, verdict))
    });
    assert_eq!(tried.count(), 1);
}

#[test]
fn an_old_lone_strike_does_not_hide_a_cut() {
    let mut vm = entry_vm(12);
    let lost = open_at(&mut vm, ms(0), BOARD, 8, 100);
    vm.packet(ms(10), &data(lost, cookie(8), 101, 1_000));
    vm.packet(ms(210), &data(lost, cookie(8), 101, 1_000));
    let alive = open_at(&mut vm, ms(300), BOARD, 11, 2_500);
    vm.packet(ms(310), &acknowledgement(alive, cookie(11), 2_000));
    for n in [2, 5] {
        let key = open_at(&mut vm, ms(320), BOARD, n, n as u16 * 5_000);
        answer_elsewhere(&mut vm, 900, &[2, 5, 8, 11], n as u16 * 5_000 + 3_000);
        vm.packet(ms(800), &data(key, cookie(n), 101, 1_000));
        vm.packet(ms(1_000), &data(key, cookie(n), 101, 1_000));
    }
    for caller in 50_000..50_100 {
        let n = open(&mut vm, ms(1_050), flow(caller, BOARD));
        assert!(
            ![2, 5, 11].contains(&n),
            "target {n} lies in the zone that is cut off"
        );
    }
}

#[test]
fn a_target_struck_again_counts_by_what_it_left_unanswered_last() {
    let mut vm = entry_vm(12);
    let strike = |vm: &mut Steering, key, n, sent| {
        vm.packet(ms(sent), &data(key, cookie(n), 101, 1_000));
        vm.packet(ms(sent + 200), &data(key, cookie(n), 101, 1_000));
    };
    let struck = open_at(&mut vm, ms(0), BOARD, 8, 100);
    let again = open_at(&mut vm, ms(0), BOARD, 8, 40_000);
    strike(&mut vm, struck, 8, 10);
    let alive = open_at(&mut vm, ms(300), BOARD, 11, 2_500);
    vm.packet(ms(310), &acknowledgement(alive, cookie(11), 2_000));
    let key = open_at(&mut vm, ms(320), BOARD, 2, 10_000);
    answer_elsewhere(&mut vm, 900, &[2, 5, 8, 11], 13_000);
    strike(&mut vm, again, 8, 800);
    strike(&mut vm, key, 2, 800);
    for caller in 50_000..50_100 {
        let n = open(&mut vm, ms(1_050), flow(caller, BOARD));
        assert!(
            ![2, 5, 8, 11].contains(&n),
            "target {n} lies in the zone that is cut off"
        );
    }
}

#[test]
fn a_departed_target_that_no_longer_answers_has_its_flows_reset() {
    let mut vm = entry_vm(6);
    let key = open_at(&mut vm, ms(0), BOOKING, 2, 100);
    vm.apply(ms(250), Change::TargetRemoved { name: "i-2".into() });
    let verdict = vm.packet(ms(300), &data(key, cookie(2), 101, 1_000));
    assert_eq!(chosen(&vm, verdict), 2, "it may still answer");
    vm.record_store_view(ms(450));
    let verdict = vm.packet(ms(500), &data(key, cookie(2), 101, 1_000));
    assert_eq!(chosen(&vm, verdict), 2, "a packet may have been lost");
    let verdict = vm.packet(ms(900), &data(key, cookie(2), 101, 1_000));
    assert_eq!(verdict, Verdict::Reset(ResetReason::TargetGone));
}
