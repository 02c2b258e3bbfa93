//! Packets that can't be decided yet.

use cicadaweir_core::{
    packet::PacketRef,
    prelude::*,
    steer::{Change, DropReason, Options, Steering, Verdict, WaitReason},
};

use crate::support::{
    IDEMPOTENT_PORT, cookie, data, entry_vm_with, flow, ms, opening, pass_time, routes, target,
    target_number, unlimited_admission, unlimited_capacity,
};

/// Decides all pending packets that can be decided, as the driver does.
fn decide_ready(vm: &mut Steering, now: Instant) -> Vec<(u32, Verdict)> {
    let mut decided = Vec::new();
    while let Some(next) = vm.next_pending(now) {
        match next {
            Ok(pending) => decided.push((pending.packet.0, vm.decide_pending(now, &pending))),
            Err(pending) => decided.push((pending.packet.0, Verdict::Drop(DropReason::Waited))),
        }
    }
    decided
}

// Restart of all entry VMs: callers keep sending before the store is read.
#[test]
fn packets_wait_until_the_store_has_been_read() {
    let mut vm = Steering::new(Options::default(), "a", 1);
    let packets = [
        opening(flow(1, IDEMPOTENT_PORT), 0),
        data(flow(2, IDEMPOTENT_PORT), cookie(3), 101, 1_000),
        opening(flow(3, IDEMPOTENT_PORT), 2),
    ];
    for (at, packet) in packets.iter().enumerate() {
        let now = ms(10 * at as u64);
        assert_eq!(
            vm.packet(now, packet),
            Verdict::Wait(WaitReason::StoreNotRead)
        );
        vm.enqueue(now, packet, PacketRef(at as u32));
    }
    let copy = opening(flow(1, IDEMPOTENT_PORT), 1);
    assert_eq!(vm.packet(ms(40), &copy), Verdict::Drop(DropReason::Copy));
    assert!(decide_ready(&mut vm, ms(45)).is_empty());
    vm.apply(ms(50), Change::Routes(routes(1)));
    vm.apply(ms(50), Change::Target(target(3, "classes", "a")));
    vm.apply(ms(50), Change::Target(target(4, "classes", "a")));
    assert!(
        decide_ready(&mut vm, ms(50)).is_empty(),
        "more targets may follow"
    );
    vm.mark_store_read();
    let decided = decide_ready(&mut vm, ms(50));
    assert_eq!(decided.len(), 3);
    for (packet, verdict) in decided {
        let n = target_number(&vm, verdict);
        assert!(
            packet != 1 || n == 3,
            "the packet of the open flow follows its cookie"
        );
    }
}

// Start of hundreds of entry VMs: reading all pages of the store takes seconds.
#[test]
fn known_targets_get_packets_before_the_whole_store_is_read() {
    let mut vm = Steering::new(Options::default(), "a", 1);
    vm.apply(ms(0), Change::Routes(routes(1)));
    let first = opening(flow(1, IDEMPOTENT_PORT), 0);
    assert_eq!(
        vm.packet(ms(0), &first),
        Verdict::Wait(WaitReason::StoreNotRead),
        "no target yet"
    );
    vm.apply(ms(1), Change::Target(target(3, "classes", "a")));
    let verdict = vm.packet(ms(1), &opening(flow(2, IDEMPOTENT_PORT), 0));
    assert_eq!(target_number(&vm, verdict), 3);
    let later = data(flow(3, IDEMPOTENT_PORT), cookie(9), 101, 1_000);
    assert_eq!(
        vm.packet(ms(2), &later),
        Verdict::Wait(WaitReason::StoreNotRead)
    );
    let verdict = vm.packet(
        ms(2),
        &data(flow(4, IDEMPOTENT_PORT), cookie(3), 101, 1_000),
    );
    assert_eq!(target_number(&vm, verdict), 3);
    assert!(!vm.is_ready());
}

#[test]
fn a_pending_packet_is_dropped_after_the_store_read_timeout() {
    let mut vm = Steering::new(Options::default(), "a", 1);
    let packet = opening(flow(1, IDEMPOTENT_PORT), 0);
    assert!(matches!(vm.packet(ms(0), &packet), Verdict::Wait(_)));
    vm.enqueue(ms(0), &packet, PacketRef(7));
    let timeout = ms(0) + Options::default().store_read_timeout;
    assert_eq!(
        decide_ready(&mut vm, timeout),
        [(7, Verdict::Drop(DropReason::Waited))]
    );
    assert!(!vm.has_pending());
    let counted = |decision, detail| {
        let mut entries = vm.counters().entries();
        entries
            .find(|e| (e.0, e.1) == (decision, detail))
            .map(|e| e.2)
    };
    assert_eq!(counted("waited", "any"), Some(1));
    assert_eq!(counted("drop", "waited"), Some(1));
}

// A load surge: more openings at once than all targets have slots.
#[test]
fn openings_wait_for_capacity_and_the_latest_is_placed_first() {
    let mut vm = entry_vm_with(2, unlimited_admission());
    let mut waiting = Vec::new();
    for caller in 0..16u16 {
        let packet = opening(flow(caller, IDEMPOTENT_PORT), 0);
        match vm.packet(ms(0), &packet) {
            Verdict::Place { .. } => {}
            Verdict::Wait(WaitReason::NoCapacity) => {
                vm.enqueue(ms(0), &packet, PacketRef(u32::from(caller)));
                waiting.push(u32::from(caller));
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(
        waiting,
        [12, 13, 14, 15],
        "two targets with two slots each take three requests per slot"
    );
    assert!(decide_ready(&mut vm, ms(10)).is_empty());
    crate::support::close_flow(&mut vm, ms(20), flow(0, IDEMPOTENT_PORT));
    let decided = decide_ready(&mut vm, ms(20));
    assert_eq!(decided.iter().map(|d| d.0).collect::<Vec<_>>(), [15]);
    let timeout = ms(0) + Options::default().capacity_timeout;
    let decided: Vec<u32> = decide_ready(&mut vm, timeout).iter().map(|d| d.0).collect();
    assert_eq!(
        decided,
        [12, 13, 14],
        "no opening waits beyond the capacity timeout"
    );
}

#[test]
fn packets_beyond_the_pending_limit_are_dropped() {
    let options = Options {
        max_pending: 2,
        ..Options::default()
    };
    let mut vm = Steering::new(options, "a", 1);
    for caller in 0..4 {
        let packet = opening(flow(caller, IDEMPOTENT_PORT), 0);
        match vm.packet(ms(0), &packet) {
            Verdict::Wait(_) => vm.enqueue(ms(0), &packet, PacketRef(u32::from(caller))),
            other => assert_eq!(other, Verdict::Drop(DropReason::Waited)),
        }
    }
    assert_eq!(vm.counters().waits, 2);
}

// Guards against resets of open flows by a second target: an opening that lay unread while
// this process was paused is answered after its caller has opened the flow elsewhere, and
// changes the cookie that the caller sends (docs/incidents/opening-after-a-pause.md).
#[test]
fn an_opening_that_lay_unread_during_a_pause_is_not_placed() {
    let mut vm = entry_vm_with(3, unlimited_capacity());
    vm.tick(ms(0));
    for (at, copy) in [(4_000, 0), (4_001, 1), (4_299, 2)] {
        let verdict = vm.packet(ms(at), &opening(flow(7, IDEMPOTENT_PORT), copy));
        assert_eq!(verdict, Verdict::Drop(DropReason::Overtaken), "at {at}");
    }
    let verdict = vm.packet(ms(4_300), &opening(flow(8, IDEMPOTENT_PORT), 0));
    assert!(matches!(verdict, Verdict::Place { .. }), "{verdict:?}");
}

// The same while an opening waits here: its caller sends the next copy to another entry VM
// when the routers change the rotation, or this process is paused.
#[test]
fn an_opening_that_waits_is_not_placed_when_its_next_copy_went_elsewhere() {
    let read_store = |vm: &mut Steering, now| {
        vm.apply(now, Change::Routes(routes(1)));
        vm.apply(now, Change::Target(target(3, "classes", "a")));
        vm.mark_store_read();
        decide_ready(vm, now)
    };
    for (decided_at, has_copies) in [(199, false), (200, false), (599, true), (999, true)] {
        let mut vm = Steering::new(Options::default(), "a", 1);
        let first = opening(flow(1, IDEMPOTENT_PORT), 0);
        assert!(matches!(vm.packet(ms(0), &first), Verdict::Wait(_)));
        vm.enqueue(ms(0), &first, PacketRef(1));
        if has_copies {
            let copy = opening(flow(1, IDEMPOTENT_PORT), 1);
            pass_time(&mut vm, 0, 200);
            assert_eq!(vm.packet(ms(200), &copy), Verdict::Drop(DropReason::Copy));
        }
        pass_time(&mut vm, 200, decided_at);
        let decided = read_store(&mut vm, ms(decided_at));
        let is_placed = matches!(decided[..], [(1, Verdict::Place { .. })]);
        let expected = decided_at == 199 || decided_at == 599;
        assert_eq!(is_placed, expected, "at {decided_at}: {decided:?}");
    }
}
