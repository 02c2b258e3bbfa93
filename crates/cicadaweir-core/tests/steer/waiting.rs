//! Packets that can't be decided yet.

use cicadaweir_core::{
    packet::PacketRef,
    prelude::*,
    steer::{Change, DropReason, Options, Steering, Verdict, WaitReason},
};

use crate::world::{BOARD, chosen, cookie, data, entry_vm_with, flow, ms, opening, routes, target};

/// Hands over everything that can be decided, as the driver does.
fn release(vm: &mut Steering, now: Instant) -> Vec<(u32, Verdict)> {
    let mut decided = Vec::new();
    while let Some(next) = vm.next_pending(now) {
        match next {
            Ok(waiter) => decided.push((waiter.packet.0, vm.decide_pending(now, &waiter))),
            Err(waiter) => decided.push((waiter.packet.0, Verdict::Drop(DropReason::Waited))),
        }
    }
    decided
}

// Replays the restart of all entry VMs: callers go on sending while the store
// hasn't been read.
#[test]
fn packets_before_the_first_view_wait_for_it() {
    let mut vm = Steering::new(Options::default(), "a", 1);
    let packets = [
        opening(flow(1, BOARD), 0),
        data(flow(2, BOARD), cookie(3), 101, 1_000),
        opening(flow(3, BOARD), 2),
    ];
    for (at, packet) in packets.iter().enumerate() {
        let now = ms(10 * at as u64);
        assert_eq!(vm.packet(now, packet), Verdict::Wait(WaitReason::View));
        vm.enqueue(now, packet, PacketRef(at as u32));
    }
    let copy = opening(flow(1, BOARD), 1);
    assert_eq!(vm.packet(ms(40), &copy), Verdict::Drop(DropReason::Copy));
    assert!(release(&mut vm, ms(45)).is_empty());
    vm.apply(ms(50), Change::Routes(routes(1)));
    vm.apply(ms(50), Change::Target(target(3, "classes", "a")));
    vm.apply(ms(50), Change::Target(target(4, "classes", "a")));
    assert!(
        release(&mut vm, ms(50)).is_empty(),
        "more targets may follow"
    );
    vm.mark_store_read();
    let decided = release(&mut vm, ms(50));
    assert_eq!(decided.len(), 3);
    for (packet, verdict) in decided {
        let n = chosen(&vm, verdict);
        assert!(packet != 1 || n == 3, "the open flow goes by its cookie");
    }
}

// Replays the start of hundreds of entry VMs: the store's pages come over seconds.
#[test]
fn what_the_first_pages_name_is_served_before_the_last() {
    let mut vm = Steering::new(Options::default(), "a", 1);
    vm.apply(ms(0), Change::Routes(routes(1)));
    let first = opening(flow(1, BOARD), 0);
    assert_eq!(
        vm.packet(ms(0), &first),
        Verdict::Wait(WaitReason::View),
        "no target yet"
    );
    vm.apply(ms(1), Change::Target(target(3, "classes", "a")));
    let verdict = vm.packet(ms(1), &opening(flow(2, BOARD), 0));
    assert_eq!(chosen(&vm, verdict), 3);
    let later = data(flow(3, BOARD), cookie(9), 101, 1_000);
    assert_eq!(vm.packet(ms(2), &later), Verdict::Wait(WaitReason::View));
    let verdict = vm.packet(ms(2), &data(flow(4, BOARD), cookie(3), 101, 1_000));
    assert_eq!(chosen(&vm, verdict), 3);
    assert!(!vm.is_ready());
}

#[test]
fn nothing_waits_longer_than_its_caller() {
    let mut vm = Steering::new(Options::default(), "a", 1);
    let packet = opening(flow(1, BOARD), 0);
    assert!(matches!(vm.packet(ms(0), &packet), Verdict::Wait(_)));
    vm.enqueue(ms(0), &packet, PacketRef(7));
    let end = ms(0) + Options::default().view_patience;
    assert_eq!(
        release(&mut vm, end),
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

// Replays a crowd: more openings at once than all targets have slots.
#[test]
fn openings_wait_for_room_and_the_latest_goes_first() {
    let mut vm = entry_vm_with(2, Options::default());
    let mut waiting = Vec::new();
    for caller in 0..16u16 {
        let packet = opening(flow(caller, BOARD), 0);
        match vm.packet(ms(0), &packet) {
            Verdict::Place { .. } => {}
            Verdict::Wait(WaitReason::Room) => {
                vm.enqueue(ms(0), &packet, PacketRef(u32::from(caller)));
                waiting.push(u32::from(caller));
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(
        waiting,
        [12, 13, 14, 15],
        "two targets with two slots take three requests for each slot"
    );
    assert!(release(&mut vm, ms(10)).is_empty());
    crate::world::close(&mut vm, ms(20), flow(0, BOARD));
    let decided = release(&mut vm, ms(20));
    assert_eq!(decided.iter().map(|d| d.0).collect::<Vec<_>>(), [15]);
    let patience = ms(0) + Options::default().room_patience;
    let decided: Vec<u32> = release(&mut vm, patience).iter().map(|d| d.0).collect();
    assert_eq!(decided, [12, 13, 14], "nobody waits longer than the bound");
}

#[test]
fn too_many_packets_are_dropped_rather_than_kept() {
    let options = Options {
        max_pending: 2,
        ..Options::default()
    };
    let mut vm = Steering::new(options, "a", 1);
    for caller in 0..4 {
        let packet = opening(flow(caller, BOARD), 0);
        match vm.packet(ms(0), &packet) {
            Verdict::Wait(_) => vm.enqueue(ms(0), &packet, PacketRef(u32::from(caller))),
            other => assert_eq!(other, Verdict::Drop(DropReason::Waited)),
        }
    }
    assert_eq!(vm.counters().waits, 2);
}
