//! Detection of unresponsive targets and availability zones.

use cicadaweir_core::{
    prelude::*,
    steer::{Change, Options, ResetReason, Steering, Trust, Verdict},
};

use crate::support::{
    AT_MOST_ONCE_PORT, IDEMPOTENT_PORT, acknowledgement, close_flow, cookie, data, entry_vm,
    entry_vm_with, flow, ms, open_flow, open_flow_on_target, opening, pass_time, target_number,
    unlimited_capacity,
};

fn trust(vm: &Steering, now: Instant, n: u64) -> Trust {
    let key = vm.directory().by_cookie(cookie(n)).expect("a known target");
    vm.trust(now, key)
}

/// Sends a request and retransmits it until the flow is reset, at most three
/// times. Returns the reason of the reset.
fn retransmit_until_reset(
    vm: &mut Steering,
    from: u64,
    key: FlowKey,
    n: u64,
) -> Option<ResetReason> {
    for after in [0, 200, 600, 1_400] {
        vm.record_store_view(ms(from + after));
        let packet = data(key, cookie(n), 101, 1_000);
        if let Verdict::Reset(reason) = vm.packet(ms(from + after), &packet) {
            return Some(reason);
        }
    }
    None
}

/// Opens a flow that a target outside `not` answers, which shows that not all
/// targets are unreachable from this entry VM.
fn answer_from_another_target(vm: &mut Steering, at: u64, not: &[u64], caller: u16) {
    for caller in caller..caller + 50 {
        let key = flow(caller, IDEMPOTENT_PORT);
        let verdict = vm.packet(ms(at), &opening(key, 0));
        let n = target_number(vm, verdict);
        if !not.contains(&n) {
            vm.packet(ms(at + 1), &acknowledgement(key, cookie(n), 1_000));
            close_flow(vm, ms(at + 2), key);
            return;
        }
    }
    panic!("no opening was placed on a target outside {not:?}");
}

#[test]
fn a_retransmitted_opening_makes_its_target_suspected_until_it_answers() {
    let mut vm = entry_vm(14);
    let key = flow(1, IDEMPOTENT_PORT);
    let verdict = vm.packet(ms(0), &opening(key, 0));
    let n = target_number(&vm, verdict);
    vm.packet(ms(200), &opening(key, 1));
    assert_eq!(trust(&vm, ms(200), n), Trust::Suspected);
    assert_eq!(trust(&vm, ms(1_800), n), Trust::Probation);
    let mut probes = 0;
    for caller in 10..30 {
        let verdict = vm.packet(ms(1_800), &opening(flow(caller, IDEMPOTENT_PORT), 0));
        probes += u32::from(target_number(&vm, verdict) == n);
    }
    assert_eq!(probes, 1, "one flow probes a target on probation");
    let key = flow(10, IDEMPOTENT_PORT);
    vm.packet(ms(1_810), &acknowledgement(key, cookie(n), 1_000));
    assert_eq!(trust(&vm, ms(1_810), n), Trust::Trusted);
}

#[test]
fn flows_of_an_unresponsive_target_are_reset_if_requests_may_run_more_than_once() {
    let mut vm = entry_vm(6);
    let idempotent = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 100);
    let at_most_once = open_flow_on_target(&mut vm, ms(0), AT_MOST_ONCE_PORT, 2, 3_000);
    answer_from_another_target(&mut vm, 350, &[2], 9_000);
    assert_eq!(
        retransmit_until_reset(&mut vm, 300, idempotent, 2),
        Some(ResetReason::TargetSilent)
    );
    assert_eq!(
        retransmit_until_reset(&mut vm, 400, at_most_once, 2),
        None,
        "the request may have run and must not run again"
    );
}

#[test]
fn two_lost_packets_do_not_reset_a_flow() {
    let mut vm = entry_vm(6);
    let key = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 100);
    answer_from_another_target(&mut vm, 350, &[2], 9_000);
    for at in [300, 500, 900] {
        let verdict = vm.packet(ms(at), &data(key, cookie(2), 101, 1_000));
        assert_eq!(target_number(&vm, verdict), 2);
    }
}

#[test]
fn no_flow_is_reset_while_no_target_answers() {
    let mut vm = entry_vm(6);
    let keys: Vec<(FlowKey, u64)> = (1..=6)
        .map(|n| {
            (
                open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, n, n as u16 * 4_000),
                n,
            )
        })
        .collect();
    for (key, n) in keys {
        assert_eq!(retransmit_until_reset(&mut vm, 300, key, n), None);
    }
}

// Regression (compas-quito trouble-1): while a zone was cut off, each entry VM
// lost an opening there every 1.5 s, although its own zone had capacity.
#[test]
fn a_suspected_remote_target_is_not_probed_while_local_ones_have_capacity() {
    let options = Options {
        local_share: Options::default().local_share,
        ..unlimited_capacity()
    };
    let mut vm = entry_vm_with(6, options);
    let mut caller = 2;
    let remote = loop {
        let n = open_flow(&mut vm, ms(0), flow(caller, IDEMPOTENT_PORT));
        if n % 3 != 1 {
            break n;
        }
        caller += 1;
    };
    for at in [10, 210] {
        vm.packet(
            ms(at),
            &data(flow(caller, IDEMPOTENT_PORT), cookie(remote), 101, 1_000),
        );
    }
    pass_time(&mut vm, 210, 1_800);
    assert_eq!(trust(&vm, ms(1_800), remote), Trust::Probation);
    let probes = (10..12).filter(|&caller| {
        let verdict = vm.packet(ms(1_800), &opening(flow(caller, IDEMPOTENT_PORT), 0));
        target_number(&vm, verdict) == remote
    });
    assert_eq!(probes.count(), 0);
}

// Regression (compas-quito trouble-1): a flow passed through another entry VM for
// a while and returned with acknowledgements of answers from that time.
#[test]
fn an_answer_from_before_a_flow_returned_does_not_clear_its_target() {
    let mut vm = entry_vm(6);
    let returning = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 100);
    let key = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 5_000);
    vm.packet(ms(3_000), &data(key, cookie(2), 101, 1_000));
    vm.packet(ms(3_200), &data(key, cookie(2), 101, 1_000));
    assert_eq!(trust(&vm, ms(3_200), 2), Trust::Suspected);
    vm.packet(ms(3_300), &acknowledgement(returning, cookie(2), 9_000));
    assert_eq!(trust(&vm, ms(3_300), 2), Trust::Suspected);
    vm.packet(ms(3_310), &data(returning, cookie(2), 500, 9_000));
    vm.packet(ms(3_340), &acknowledgement(returning, cookie(2), 10_000));
    assert_eq!(trust(&vm, ms(3_340), 2), Trust::Trusted);
}

// Regression (maonyesho-lb trouble-2): two of a zone's three targets crashed, and
// a flow of the third was reset on its first packet after a pause.
#[test]
fn two_crashed_targets_of_a_zone_do_not_reset_flows_of_the_third() {
    let mut vm = entry_vm(9);
    let paused = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 7, 100);
    for n in [1, 4] {
        let key = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, n, n as u16 * 5_000);
        answer_from_another_target(&mut vm, 320, &[1, 4, 7], n as u16 * 5_000 + 3_000);
        retransmit_until_reset(&mut vm, 300, key, n);
    }
    let verdict = vm.packet(ms(1_750), &data(paused, cookie(7), 101, 1_000));
    assert_eq!(target_number(&vm, verdict), 7);
}

// Regression (maonyesho-lb mix --seed 357841786706): an entry VM still counted
// retransmissions from a network cut 4.8 s after its end, and reset a flow that
// had paused.
#[test]
fn old_retransmissions_do_not_reset_a_flow() {
    let mut vm = entry_vm(6);
    let paused = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 100);
    let key = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 3_000);
    answer_from_another_target(&mut vm, 350, &[2], 9_000);
    assert_eq!(
        retransmit_until_reset(&mut vm, 300, key, 2),
        Some(ResetReason::TargetSilent)
    );
    let verdict = vm.packet(ms(6_000), &data(paused, cookie(2), 101, 1_000));
    assert_eq!(target_number(&vm, verdict), 2);
    let verdict = vm.packet(ms(6_200), &data(paused, cookie(2), 101, 1_000));
    assert_eq!(
        target_number(&vm, verdict),
        2,
        "one retransmission after a pause must not reset the flow"
    );
}

#[test]
fn packets_queued_while_the_process_was_paused_do_not_make_a_target_suspected() {
    let mut vm = entry_vm(6);
    let key = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 100);
    answer_from_another_target(&mut vm, 3_000, &[2], 9_000);
    for _ in 0..5 {
        let verdict = vm.packet(ms(3_001), &data(key, cookie(2), 101, 1_000));
        assert_eq!(target_number(&vm, verdict), 2);
    }
    assert_eq!(trust(&vm, ms(3_001), 2), Trust::Trusted);
}

#[test]
fn a_cut_off_zone_gets_no_flows_but_one_probe_at_a_time() {
    let mut vm = entry_vm(12);
    let cut_off = [2, 5, 8, 11];
    for n in [2, 5] {
        let key = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, n, n as u16 * 5_000);
        answer_from_another_target(&mut vm, 400, &cut_off, n as u16 * 5_000 + 3_000);
        vm.packet(ms(300), &data(key, cookie(n), 101, 1_000));
        vm.packet(ms(500), &data(key, cookie(n), 101, 1_000));
    }
    for caller in 20_000..20_100 {
        let n = open_flow(&mut vm, ms(600), flow(caller, IDEMPOTENT_PORT));
        assert!(
            !cut_off.contains(&n),
            "target {n} lies in the zone that is cut off"
        );
    }
    let probes = (30_000..30_050).filter(|&caller| {
        let verdict = vm.packet(ms(2_100), &opening(flow(caller, IDEMPOTENT_PORT), 0));
        cut_off.contains(&target_number(&vm, verdict))
    });
    assert_eq!(probes.count(), 1);
}

// Guards against a missed zone cut: target 8 has an unanswered packet from before
// the latest answer of its zone.
#[test]
fn an_old_unanswered_packet_does_not_hide_a_zone_cut() {
    let mut vm = entry_vm(12);
    let lost = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 8, 100);
    vm.packet(ms(10), &data(lost, cookie(8), 101, 1_000));
    vm.packet(ms(210), &data(lost, cookie(8), 101, 1_000));
    let alive = open_flow_on_target(&mut vm, ms(300), IDEMPOTENT_PORT, 11, 2_500);
    vm.packet(ms(310), &acknowledgement(alive, cookie(11), 2_000));
    for n in [2, 5] {
        let key = open_flow_on_target(&mut vm, ms(320), IDEMPOTENT_PORT, n, n as u16 * 5_000);
        answer_from_another_target(&mut vm, 900, &[2, 5, 8, 11], n as u16 * 5_000 + 3_000);
        vm.packet(ms(800), &data(key, cookie(n), 101, 1_000));
        vm.packet(ms(1_000), &data(key, cookie(n), 101, 1_000));
    }
    for caller in 50_000..50_100 {
        let n = open_flow(&mut vm, ms(1_050), flow(caller, IDEMPOTENT_PORT));
        assert!(
            ![2, 5, 11].contains(&n),
            "target {n} lies in the zone that is cut off"
        );
    }
}

// Guards against a missed zone cut: target 8 has unanswered packets from before
// and after the latest answer of its zone, and only the later one counts.
#[test]
fn a_zone_cut_is_detected_from_the_latest_unanswered_packets() {
    let mut vm = entry_vm(12);
    let retransmit = |vm: &mut Steering, key, n, sent| {
        vm.packet(ms(sent), &data(key, cookie(n), 101, 1_000));
        vm.packet(ms(sent + 200), &data(key, cookie(n), 101, 1_000));
    };
    let first_flow = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 8, 100);
    let second_flow = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 8, 40_000);
    retransmit(&mut vm, first_flow, 8, 10);
    let alive = open_flow_on_target(&mut vm, ms(300), IDEMPOTENT_PORT, 11, 2_500);
    vm.packet(ms(310), &acknowledgement(alive, cookie(11), 2_000));
    let key = open_flow_on_target(&mut vm, ms(320), IDEMPOTENT_PORT, 2, 10_000);
    answer_from_another_target(&mut vm, 900, &[2, 5, 8, 11], 13_000);
    retransmit(&mut vm, second_flow, 8, 800);
    retransmit(&mut vm, key, 2, 800);
    for caller in 50_000..50_100 {
        let n = open_flow(&mut vm, ms(1_050), flow(caller, IDEMPOTENT_PORT));
        assert!(
            ![2, 5, 8, 11].contains(&n),
            "target {n} lies in the zone that is cut off"
        );
    }
}

#[test]
fn flows_of_a_departed_target_that_does_not_answer_are_reset() {
    let mut vm = entry_vm(6);
    let key = open_flow_on_target(&mut vm, ms(0), AT_MOST_ONCE_PORT, 2, 100);
    vm.apply(ms(250), Change::TargetRemoved { name: "i-2".into() });
    let verdict = vm.packet(ms(300), &data(key, cookie(2), 101, 1_000));
    assert_eq!(
        target_number(&vm, verdict),
        2,
        "the target may still answer"
    );
    vm.record_store_view(ms(450));
    let verdict = vm.packet(ms(500), &data(key, cookie(2), 101, 1_000));
    assert_eq!(
        target_number(&vm, verdict),
        2,
        "a packet may have been lost"
    );
    let verdict = vm.packet(ms(900), &data(key, cookie(2), 101, 1_000));
    assert_eq!(verdict, Verdict::Reset(ResetReason::TargetGone));
}
