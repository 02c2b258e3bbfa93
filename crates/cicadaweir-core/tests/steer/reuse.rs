//! Names, keys and ports that are in use again.

use cicadaweir_core::{
    flow::FlowKey,
    prelude::*,
    steer::{
        Applied, Change, DropReason, Options, ResetReason, Segment, Steering, TargetState, Verdict,
    },
};

use crate::support::{
    AT_MOST_ONCE_PORT, IDEMPOTENT_PORT, acknowledgement, address, cookie, data, entry_vm, flow, ms,
    open_flow, open_flow_on_target, opening, routes, target, target_number,
};

fn key(vm: &Steering, n: u64) -> TargetKey {
    vm.directory().by_cookie(cookie(n)).expect("a known target")
}

#[test]
fn a_target_that_restarts_under_its_name_has_no_load() {
    let mut vm = entry_vm(1);
    for caller in 0..5 {
        open_flow(&mut vm, ms(0), flow(caller, IDEMPOTENT_PORT));
    }
    let before = vm.target_load(key(&vm, 1));
    assert_eq!((before.open, before.in_flight), (5, 5));
    let mut restarted = target(1, "classes", "a");
    restarted.born = Some(2);
    let applied = vm.apply(ms(10), Change::Target(restarted));
    assert!(matches!(applied, Applied::NewTarget(_)));
    let after = vm.target_load(key(&vm, 1));
    assert_eq!((after.open, after.in_flight), (0, 0));
    let late = data(flow(2, IDEMPOTENT_PORT), cookie(1), 101, 1_000);
    let verdict = vm.packet(ms(20), &late);
    assert_eq!(
        target_number(&vm, verdict),
        1,
        "the target itself resets flows that it does not know"
    );
    let fresh = flow(9, IDEMPOTENT_PORT);
    open_flow(&mut vm, ms(30), fresh);
    crate::support::close_flow(&mut vm, ms(40), flow(2, IDEMPOTENT_PORT));
    assert_eq!(vm.target_load(key(&vm, 1)).open, 1, "the new flow counts");
}

// Another writer's entry names two services in turn.
#[test]
fn a_flow_does_not_follow_an_entry_to_another_service() {
    let mut vm = entry_vm(3);
    let held = open_flow_on_target(&mut vm, ms(0), IDEMPOTENT_PORT, 2, 1);
    vm.apply(ms(10), Change::Target(target(2, "sheets", "a")));
    let verdict = vm.packet(ms(20), &data(held, cookie(2), 101, 1_000));
    assert_eq!(verdict, Verdict::Drop(DropReason::OtherService));
    vm.apply(ms(30), Change::Target(target(2, "classes", "a")));
    let verdict = vm.packet(ms(40), &data(held, cookie(2), 101, 1_000));
    assert_eq!(target_number(&vm, verdict), 2);
}

// A caller keeps sending to a target that has left for good, until the target's
// key is that of a new target of another service.
#[test]
fn a_flow_does_not_follow_a_key_that_is_in_use_again() {
    let mut vm = entry_vm(3);
    let held = open_flow_on_target(&mut vm, ms(0), AT_MOST_ONCE_PORT, 2, 1);
    let old_key = key(&vm, 2);
    let name = "i-2".into();
    vm.apply(ms(10), Change::TargetRemoved { name });
    let departed_ttl = Options::default().departed_ttl.as_millis();
    for second in 0..=departed_ttl / 1_000 + 1 {
        let at = ms(1_000 * second + 500);
        vm.packet(at, &data(held, cookie(2), 101, 1_000));
        vm.tick(at);
    }
    let end = ms(departed_ttl + 3_000);
    vm.apply(end, Change::Target(target(50, "sheets", "a")));
    assert_eq!(key(&vm, 50), old_key, "the key is in use again");
    let verdict = vm.packet(end, &data(held, cookie(2), 101, 1_000));
    assert_eq!(verdict, Verdict::Drop(DropReason::TargetUnknown));
}

// A caller's port is in use again while a packet of its last flow is still on the
// way.
#[test]
fn a_late_packet_of_an_earlier_flow_does_not_move_the_new_one() {
    let mut vm = entry_vm(6);
    let reused = flow(7, IDEMPOTENT_PORT);
    let mut first = opening(reused, 0);
    first.sequence = 1_000_000;
    let verdict = vm.packet(ms(0), &first);
    let old = target_number(&vm, verdict);
    let mut packet = acknowledgement(reused, cookie(old), 5_000);
    packet.sequence = 1_000_001;
    vm.packet(ms(10), &packet);
    let mut closing = packet;
    closing.kind = PacketKind::Closing;
    vm.packet(ms(20), &closing);
    let mut second = opening(reused, 0);
    second.sequence = 3_000_000_000;
    let mut new = old;
    for at in 0..50 {
        let verdict = vm.packet(ms(30 + at), &second);
        new = target_number(&vm, verdict);
        if new != old {
            break;
        }
        let mut closing = closing;
        closing.sequence = 3_000_000_001;
        closing.cookie = cookie(new);
        vm.packet(ms(30 + at), &closing);
    }
    assert_ne!(new, old, "the new flow is on another target");
    let verdict = vm.packet(ms(100), &closing);
    assert_eq!(
        target_number(&vm, verdict),
        old,
        "the late packet goes to its own target"
    );
    let mut packet = acknowledgement(reused, cookie(new), 9_000);
    packet.sequence = 3_000_000_001;
    let verdict = vm.packet(ms(110), &packet);
    assert_eq!(target_number(&vm, verdict), new);
    let mut request = data(reused, cookie(new), 3_000_000_001, 9_000);
    request.ack = 9_000;
    let verdict = vm.packet(ms(120), &request);
    assert_eq!(target_number(&vm, verdict), new);
}

/// Returns a packet of a flow with other initial sequence numbers at both ends than those
/// of `crate::support`.
fn packet_of_other_flow(flow: FlowKey, n: u64, request: u32) -> Segment {
    data(flow, cookie(n), 3_000_000_001 + request, 2_000_000_000)
}

// Guards against resets of open flows by the target of an earlier flow: the caller closed
// that one through another entry VM and uses its port again (docs/incidents/reused-ports.md).
#[test]
fn packets_of_a_new_flow_do_not_go_to_the_target_of_an_earlier_one() {
    for is_adopted in [false, true] {
        let mut vm = entry_vm(3);
        let reused = flow(7, AT_MOST_ONCE_PORT);
        let old = if is_adopted {
            vm.packet(ms(0), &data(reused, cookie(1), 101, 1_000));
            1
        } else {
            open_flow(&mut vm, ms(0), reused)
        };
        let new = old % 3 + 1;
        for (request, at) in [17_000, 17_200, 17_400].into_iter().enumerate() {
            let packet = packet_of_other_flow(reused, new, request as u32);
            let verdict = vm.packet(ms(at), &packet);
            assert_eq!(target_number(&vm, verdict), new, "adopted: {is_adopted}");
        }
        let [old, new] = [old, new].map(|n| vm.target_load(key(&vm, n)).open);
        assert_eq!((old, new), (0, 1), "the new flow alone counts");
    }
}

// Guards against the loss of a flow's state to a packet of an earlier flow that was
// delayed in the network: the later cookie of another target would move the flow.
#[test]
fn a_late_packet_of_an_earlier_flow_does_not_replace_an_open_one() {
    let mut vm = entry_vm(3);
    let reused = flow(7, AT_MOST_ONCE_PORT);
    let held = open_flow(&mut vm, ms(0), reused);
    let other = held % 3 + 1;
    let verdict = vm.packet(ms(1_000), &packet_of_other_flow(reused, other, 0));
    assert_eq!(target_number(&vm, verdict), other);
    let verdict = vm.packet(ms(1_010), &data(reused, cookie(other), 101, 1_000));
    assert_eq!(target_number(&vm, verdict), held);
}

// A flow keeps its target after much of it has passed through other entry VMs.
#[test]
fn a_flow_that_returns_after_a_download_keeps_its_target() {
    let mut vm = entry_vm(3);
    let key = flow(7, IDEMPOTENT_PORT);
    let held = open_flow(&mut vm, ms(0), key);
    let other = held % 3 + 1;
    let verdict = vm.packet(ms(9_000), &data(key, cookie(other), 40_101, 901_000));
    assert_eq!(target_number(&vm, verdict), held);
}

/// What ends the flows of a target for new openings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closed {
    Draining,
    RouteDropped,
}

impl Closed {
    fn apply(self, vm: &mut Steering, n: u64) {
        match self {
            Self::Draining => {
                let mut draining = target(n, "classes", "a");
                draining.state = TargetState::Draining;
                vm.apply(ms(9_000), Change::Target(draining));
            }
            Self::RouteDropped => {
                let mut fewer = routes(2);
                fewer.routes.shift_remove(&address(AT_MOST_ONCE_PORT));
                vm.apply(ms(9_000), Change::Routes(fewer));
            }
        }
        vm.record_store_view(ms(16_999));
    }
}

// Guards against openings that reach a target that drains, or a target on a route that was
// dropped: their ports belong to an earlier flow that the caller closed through another entry
// VM (docs/incidents/opening-from-reused-ports.md).
#[test]
fn an_opening_from_ports_of_a_remembered_flow_is_placed_like_any_other() {
    for closed in [Closed::Draining, Closed::RouteDropped] {
        for is_copy in [false, true] {
            let mut vm = entry_vm(3);
            let reused = flow(7, AT_MOST_ONCE_PORT);
            let old = open_flow(&mut vm, ms(0), reused);
            closed.apply(&mut vm, old);
            let mut packet = opening(reused, 0);
            if !is_copy {
                packet.sequence = 3_000_000_000;
            }
            let verdict = vm.packet(ms(17_000), &packet);
            let expected = match (is_copy, closed) {
                (true, _) => Verdict::Drop(DropReason::Copy),
                (false, Closed::RouteDropped) => Verdict::Reset(ResetReason::NoRoute),
                (false, Closed::Draining) => {
                    assert_ne!(target_number(&vm, verdict), old, "the target drains");
                    continue;
                }
            };
            assert_eq!(verdict, expected, "{closed:?}, copy: {is_copy}");
        }
    }
}

// An opening with another sequence number shows that the remembered flow has ended.
#[test]
fn a_new_opening_releases_the_load_of_the_flow_before() {
    let mut vm = entry_vm(1);
    let reused = flow(7, AT_MOST_ONCE_PORT);
    open_flow(&mut vm, ms(0), reused);
    let mut packet = opening(reused, 0);
    packet.sequence = 3_000_000_000;
    let verdict = vm.packet(ms(17_000), &packet);
    assert!(matches!(verdict, Verdict::Place { .. }), "{verdict:?}");
    assert_eq!(vm.target_load(key(&vm, 1)).open, 1);
}
