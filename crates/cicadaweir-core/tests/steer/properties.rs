//! What holds whatever comes, over seeds.

use std::collections::HashMap;

use cicadaweir_core::steer::{Change, Cookie, Segment, Steering, TargetState, Verdict};
use proptest::prelude::*;

use crate::world::{
    BOARD, BOOKING, SHEET, acknowledgement, close, cookie, data, entry_vm, flow, ms, opening,
    routes, target,
};

/// One thing that happens.
#[derive(Debug, Clone)]
enum Step {
    /// A caller opens a new flow; `again` is the entry VM that takes a copy of
    /// the opening, and `second` tells which answer the caller takes.
    Opening {
        vm: usize,
        port: u16,
        again: Option<usize>,
        second: bool,
    },
    Data {
        vm: usize,
        caller: u16,
        sequence: u32,
        answered: bool,
    },
    Close {
        vm: usize,
        caller: u16,
    },
    Forged {
        vm: usize,
        caller: u16,
        port: u16,
        cookie: u32,
    },
    Drain {
        vm: usize,
        target: u64,
    },
    Gone {
        vm: usize,
        target: u64,
    },
    Added {
        vm: usize,
        target: u64,
    },
    Routes {
        vm: usize,
        version: u64,
    },
    Tick {
        vm: usize,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..2usize;
    let caller = 0..40u16;
    let port = prop_oneof![Just(BOARD), Just(BOOKING), Just(SHEET), Just(1u16)];
    prop_oneof![
        6 => (vm.clone(), port.clone(), prop::option::of(0..2usize), any::<bool>())
            .prop_map(|(vm, port, again, second)| Step::Opening { vm, port, again, second }),
        8 => (vm.clone(), caller.clone(), 101..104u32, any::<bool>())
            .prop_map(|(vm, caller, sequence, answered)| Step::Data { vm, caller, sequence, answered }),
        2 => (vm.clone(), caller.clone()).prop_map(|(vm, caller)| Step::Close { vm, caller }),
        1 => (vm.clone(), caller, port, prop_oneof![0..200u32, any::<u32>()])
            .prop_map(|(vm, caller, port, cookie)| Step::Forged { vm, caller, port, cookie }),
        1 => (vm.clone(), 1..8u64).prop_map(|(vm, target)| Step::Drain { vm, target }),
        1 => (vm.clone(), 1..8u64).prop_map(|(vm, target)| Step::Gone { vm, target }),
        1 => (vm.clone(), 1..12u64).prop_map(|(vm, target)| Step::Added { vm, target }),
        1 => (vm.clone(), 1..5u64).prop_map(|(vm, version)| Step::Routes { vm, version }),
        1 => vm.prop_map(|vm| Step::Tick { vm }),
        4 => (0..700u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// What the outside world remembers.
#[derive(Default)]
struct Outside {
    now: u64,
    /// The target at which a caller's flow is open, and its port.
    open: HashMap<u16, (u64, u16)>,
    callers: u16,
}

impl Outside {
    fn check(&self, vm: &Steering, port: u16, verdict: Verdict) {
        let target = match verdict {
            Verdict::Place { target, .. } | Verdict::Forward { target, .. } => target,
            _ => return,
        };
        let entry = vm.directory().target(target).expect("a known target");
        let service = vm.directory().service_name(entry.service);
        let allowed = match port {
            BOARD | BOOKING => "classes",
            SHEET => "sheets",
            _ => "none",
        };
        assert_eq!(service, allowed, "a packet for port {port}");
    }

    /// Passes an opening on; returns the target that it went to.
    fn place(&self, vm: &mut Steering, packet: &Segment) -> Option<u64> {
        let verdict = vm.packet(ms(self.now), packet);
        self.check(vm, packet.flow.address.port, verdict);
        let Verdict::Place { target, .. } = verdict else {
            return None;
        };
        let entry = vm.directory().target(target).expect("a known target");
        assert!(entry.is_eligible(), "{} takes no openings", entry.name);
        Some(entry.identity.0)
    }

    fn play(&mut self, vms: &mut [Steering; 2], step: Step) {
        let now = ms(self.now);
        match step {
            Step::Opening {
                vm,
                port,
                again,
                second,
            } => {
                self.callers += 1;
                let key = flow(self.callers, port);
                let Some(first) = self.place(&mut vms[vm], &opening(key, 0)) else {
                    return;
                };
                let mut answered = (first, vm);
                if let Some(again) = again {
                    self.now += 200;
                    let copy = self.place(&mut vms[again], &opening(key, 1));
                    if let Some(other) = copy.filter(|_| second) {
                        answered = (other, again);
                    }
                }
                let (n, vm) = answered;
                let packet = acknowledgement(key, cookie(n), 1_000);
                let verdict = vms[vm].packet(ms(self.now), &packet);
                self.check(&vms[vm], port, verdict);
                self.open.insert(self.callers, (n, port));
            }
            Step::Data {
                vm,
                caller,
                sequence,
                answered,
            } => {
                let Some(&(n, port)) = self.open.get(&caller) else {
                    return;
                };
                let ack = if answered {
                    1_000 + sequence + self.now as u32
                } else {
                    1_000
                };
                let packet = data(flow(caller, port), cookie(n), sequence, ack);
                let verdict = vms[vm].packet(now, &packet);
                self.check(&vms[vm], port, verdict);
                if let Verdict::Forward { target, .. } = verdict {
                    let entry = vms[vm].directory().target(target).expect("known");
                    assert_eq!(entry.identity.0, n, "the flow of caller {caller} moved");
                }
                if let Verdict::Reset(_) = verdict {
                    self.open.remove(&caller);
                }
            }
            Step::Close { vm, caller } => {
                if let Some((_, port)) = self.open.remove(&caller) {
                    close(&mut vms[vm], now, flow(caller, port));
                }
            }
            Step::Forged {
                vm,
                caller,
                port,
                cookie,
            } => {
                let packet = data(flow(caller + 10_000, port), Cookie(cookie), 101, 1_000);
                let verdict = vms[vm].packet(now, &packet);
                self.check(&vms[vm], port, verdict);
            }
            Step::Drain { vm, target: n } => {
                let mut spec = target(n, "classes", "a");
                spec.state = TargetState::Draining;
                vms[vm].apply(now, Change::Target(spec));
            }
            Step::Gone { vm, target: n } => {
                let name = format!("i-{n:x}").into();
                vms[vm].apply(now, Change::TargetRemoved { name });
            }
            Step::Added { vm, target: n } => {
                vms[vm].apply(now, Change::Target(target(n, "classes", "b")));
            }
            Step::Routes { vm, version } => {
                let before = vms[vm].directory().version();
                vms[vm].apply(now, Change::Routes(routes(version)));
                assert!(
                    vms[vm].directory().version() >= before,
                    "the version went back"
                );
            }
            Step::Tick { vm } => vms[vm].tick(now),
            Step::Wait { millis } => {
                self.now += millis;
                vms[0].record_store_view(ms(self.now));
            }
        }
    }
}

proptest! {
    #[test]
    fn no_flow_moves_and_no_packet_reaches_another_service(
        steps in prop::collection::vec(step(), 1..250)
    ) {
        let mut vms = [entry_vm(6), entry_vm(6)];
        let mut outside = Outside::default();
        for step in steps {
            outside.play(&mut vms, step);
        }
    }
}
