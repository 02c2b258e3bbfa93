//! All combinations of what a packet says, what is remembered, what the store's view says and
//! what happened to the process, against a statement of the rules that doesn't use the code's
//! own conditions (docs/PROOF.md, "What decides the target of a packet").

use cicadaweir_core::{
    flow::FlowKey,
    prelude::*,
    steer::{Change, Cookie, Segment, Steering, TargetState, Verdict},
};

use crate::support::{
    AT_MOST_ONCE_PORT, address, close_flow, cookie, data, entry_vm_with, flow, ms, open_flow,
    opening, pass_time, routes, target, target_number, unlimited_capacity,
};

/// The number of the target of another service.
const OTHER_SERVICE: u64 = 101;

/// The number of a target that is in no entry.
const UNLISTED: u64 = 77;

/// When the last packet of the remembered flow passes, in milliseconds: later than any age of
/// a view that is tried.
const START: u64 = 11_000;

/// The initial sequence number of the callers of a later flow.
const LATER_FLOW: u32 = 3_000_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Packet {
    /// The opening of a later flow from the same ports.
    NewOpening,
    /// A copy of the remembered flow's opening.
    CopyOfOpening,
    /// A later packet of the remembered flow.
    OfRememberedFlow,
    /// A later packet of a later flow from the same ports.
    OfLaterFlow,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Names {
    Nothing,
    TheRememberedTarget,
    AnotherTarget,
    OtherService,
    Unlisted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remembered {
    Nothing,
    Opening,
    Open,
    Adopted,
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteIs {
    Known,
    Dropped,
    NeverSeen,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetIs {
    Ready,
    Draining,
    Departed,
    /// It has started again under its name, and holds no flows.
    Reborn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Case {
    packet: Packet,
    names: Names,
    remembered: Remembered,
    /// The time since the last packet of the remembered flow.
    idle_ms: u64,
    route: RouteIs,
    /// The state of the remembered flow's target.
    target: TargetIs,
    /// The age of the view of the store.
    view_ms: u64,
    /// Whether the process was paused just before the packet is read.
    woke: bool,
}

/// The combination in a steering state, at the time when the packet arrives.
struct Scene {
    vm: Steering,
    segment: Segment,
    now: Instant,
    /// The number of the remembered flow's target.
    held: u64,
    /// The number of another target of the same service.
    other: u64,
}

fn key(case: Case) -> FlowKey {
    let port = match case.route {
        RouteIs::NeverSeen => 9_999,
        _ => AT_MOST_ONCE_PORT,
    };
    flow(7, port)
}

fn scene(case: Case) -> Scene {
    let mut vm = entry_vm_with(3, unlimited_capacity());
    let key = key(case);
    let (held, other) = remember(&mut vm, case, key);
    let end = START + case.idle_ms;
    pass_time(&mut vm, START, end);
    change_store(&mut vm, case, held, ms(end));
    vm.record_store_view(ms(end - case.view_ms));
    let now = if case.woke { end + 4_000 } else { end };
    if !case.woke {
        vm.tick(ms(now));
    }
    let named = match case.names {
        Names::Nothing => Cookie::NONE,
        Names::TheRememberedTarget => cookie(held),
        Names::AnotherTarget => cookie(other),
        Names::OtherService => cookie(OTHER_SERVICE),
        Names::Unlisted => cookie(UNLISTED),
    };
    let segment = match case.packet {
        Packet::NewOpening => Segment {
            sequence: LATER_FLOW,
            ..opening(key, 0)
        },
        Packet::CopyOfOpening => opening(key, 1),
        Packet::OfRememberedFlow => data(key, named, 110, 1_000),
        Packet::OfLaterFlow => data(key, named, LATER_FLOW + 1, 2_000_000_000),
    };
    Scene {
        vm,
        segment,
        now: ms(now),
        held,
        other,
    }
}

/// Puts the flow into its state at [`START`]; returns its target and another one.
fn remember(vm: &mut Steering, case: Case, key: FlowKey) -> (u64, u64) {
    pass_time(vm, 0, START);
    let at = ms(START);
    let mut held = 1;
    match case.remembered {
        Remembered::Nothing => {}
        // A flow on a route that was never seen can't have been placed here.
        _ if case.route == RouteIs::NeverSeen => {}
        Remembered::Opening => {
            let verdict = vm.packet(at, &opening(key, 0));
            held = target_number(vm, verdict);
        }
        Remembered::Open => held = open_flow(vm, at, key),
        Remembered::Adopted => {
            vm.packet(at, &data(key, cookie(held), 101, 1_000));
        }
        Remembered::Closed => {
            held = open_flow(vm, at, key);
            close_flow(vm, at, key);
        }
    }
    (held, held % 3 + 1)
}

fn change_store(vm: &mut Steering, case: Case, held: u64, now: Instant) {
    let zone = ["a", "b", "c"][held as usize - 1];
    let mut entry = target(held, "classes", zone);
    match case.target {
        TargetIs::Ready => {}
        TargetIs::Draining => entry.state = TargetState::Draining,
        TargetIs::Reborn => entry.born = Some(2),
        TargetIs::Departed => {
            let name = entry.name.clone();
            vm.apply(now, Change::TargetRemoved { name });
        }
    }
    if case.target != TargetIs::Departed {
        vm.apply(now, Change::Target(entry));
    }
    if case.route == RouteIs::Dropped {
        let mut fewer = routes(2);
        fewer.routes.shift_remove(&address(AT_MOST_ONCE_PORT));
        vm.apply(now, Change::Routes(fewer));
    }
}

/// Checks the rules on a verdict; returns the rule that it breaks.
fn broken_rule(case: Case, scene: &Scene, verdict: Verdict) -> Option<&'static str> {
    let sent_to = match verdict {
        Verdict::Place { .. } | Verdict::Forward { .. } => Some(target_number(&scene.vm, verdict)),
        _ => None,
    };
    let is_opening = matches!(case.packet, Packet::NewOpening | Packet::CopyOfOpening);
    let is_reset = matches!(verdict, Verdict::Reset(_));
    // PROTOCOL.md: "A flow that has been idle for idleTimeoutMs" may be discarded; a target that
    // starts again "holds and knows nothing of before".
    let is_remembered = case.route != RouteIs::NeverSeen
        && case.target != TargetIs::Reborn
        && match case.remembered {
            Remembered::Open | Remembered::Adopted => true,
            Remembered::Nothing | Remembered::Opening | Remembered::Closed => false,
        };
    if sent_to.is_some_and(|n| n > 100) {
        return Some("no packet reaches a target of another service");
    }
    if is_opening {
        let may_open = sent_to.is_none_or(|n| {
            let is_held_open =
                n == scene.held && matches!(case.target, TargetIs::Draining | TargetIs::Departed);
            case.route == RouteIs::Known && !is_held_open
        });
        if !may_open {
            return Some("no opening reaches a target that must not get new ones");
        }
        if case.woke && (sent_to.is_some() || is_reset) {
            return Some("nothing is decided on an opening that a pause has made old");
        }
        if is_reset && (case.route == RouteIs::Known || case.view_ms >= 3_000) {
            return Some("no opening is refused on a route that may be in force");
        }
        let is_new = case.packet == Packet::NewOpening && !case.woke;
        if is_new && case.route == RouteIs::Known && sent_to.is_none() {
            return Some("an opening on a known route is placed, whatever its ports were used for");
        }
        return None;
    }
    if is_remembered && case.packet == Packet::OfRememberedFlow {
        let keeps = sent_to == Some(scene.held);
        return (!keeps).then_some("an open flow keeps its target");
    }
    if is_reset && case.route != RouteIs::Dropped {
        return Some("no flow is reset without proof that it can't go on");
    }
    if case.packet == Packet::OfLaterFlow && case.route == RouteIs::Known {
        let named = match case.names {
            Names::TheRememberedTarget => Some(scene.held),
            Names::AnotherTarget => Some(scene.other),
            Names::Nothing | Names::OtherService | Names::Unlisted => None,
        };
        if sent_to != named {
            return Some("a packet of another flow follows its own cookie");
        }
    }
    None
}

fn cases() -> impl Iterator<Item = Case> {
    use Packet::*;
    let packets = [NewOpening, CopyOfOpening, OfRememberedFlow, OfLaterFlow];
    let names = [
        Names::Nothing,
        Names::TheRememberedTarget,
        Names::AnotherTarget,
        Names::OtherService,
        Names::Unlisted,
    ];
    let remembered = [
        Remembered::Nothing,
        Remembered::Opening,
        Remembered::Open,
        Remembered::Adopted,
        Remembered::Closed,
    ];
    let routes = [RouteIs::Known, RouteIs::Dropped, RouteIs::NeverSeen];
    let targets = [
        TargetIs::Ready,
        TargetIs::Draining,
        TargetIs::Departed,
        TargetIs::Reborn,
    ];
    let views = [0, 2_600, 3_000, 10_000];
    packets.into_iter().flat_map(move |packet| {
        names.into_iter().flat_map(move |names| {
            remembered.into_iter().flat_map(move |remembered| {
                routes.into_iter().flat_map(move |route| {
                    targets.into_iter().flat_map(move |target| {
                        views.into_iter().flat_map(move |view_ms| {
                            [100, 1_900, 17_000].into_iter().flat_map(move |idle_ms| {
                                [false, true].map(|woke| Case {
                                    packet,
                                    names,
                                    remembered,
                                    idle_ms,
                                    route,
                                    target,
                                    view_ms,
                                    woke,
                                })
                            })
                        })
                    })
                })
            })
        })
    })
}

// Guards against the combinations behind review/1, 2, 5 and found/drain, and their neighbours.
#[test]
fn every_combination_keeps_the_rules() {
    let mut broken = Vec::new();
    let mut count = 0;
    for case in cases() {
        count += 1;
        let mut scene = scene(case);
        let verdict = scene.vm.packet(scene.now, &scene.segment);
        if let Some(rule) = broken_rule(case, &scene, verdict) {
            broken.push(format!("{rule}: {case:?}: {verdict:?}"));
        }
    }
    assert_eq!(count, 4 * 5 * 5 * 3 * 4 * 4 * 3 * 2);
    assert!(
        broken.is_empty(),
        "{} of {count} combinations, among them:\n{}",
        broken.len(),
        broken[..broken.len().min(12)].join("\n")
    );
}
