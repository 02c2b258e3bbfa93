//! Fixtures: an entry VM with its targets, and packets of callers.

use std::net::{Ipv4Addr, SocketAddr};

use cicadaweir_core::{
    flow::{Endpoint, FlowKey, Protocol},
    packet::PacketKind,
    prelude::*,
    steer::{
        AdmissionOptions, Change, Cookie, Identity, LimitPolicy, Options, RequestKind, Route,
        RouteTable, Segment, Steering, TargetSpec, TargetState, Verdict,
    },
};
use indexmap::IndexMap;

/// The port of the route whose requests may run more than once.
pub const IDEMPOTENT_PORT: u16 = 8443;

/// The port of the route whose requests may run at most once.
pub const AT_MOST_ONCE_PORT: u16 = 8080;

/// The port of a download route, which leads to another service.
pub const DOWNLOAD_PORT: u16 = 443;

/// The zones to which targets are assigned in turn.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn ms(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

pub fn address(port: u16) -> Endpoint {
    Endpoint::from(SocketAddr::from((Ipv4Addr::new(198, 18, 0, 1), port)))
}

pub fn flow(caller: u16, port: u16) -> FlowKey {
    let ip = Ipv4Addr::new(100, 64, 0, 7);
    FlowKey {
        protocol: Protocol::Tcp,
        caller: Endpoint::from(SocketAddr::from((ip, caller))),
        address: address(port),
    }
}

pub fn target(n: u64, service: &str, zone: &str) -> TargetSpec {
    let ip = Ipv4Addr::new(10, 0, 0, n as u8);
    TargetSpec {
        name: format!("i-{n:x}").into(),
        identity: Identity(n),
        service: service.into(),
        address: Endpoint::from(SocketAddr::from((ip, 8602))),
        zone: zone.into(),
        slots: 2,
        state: TargetState::Ready,
        warmup_left: Duration::ZERO,
        born: Some(1),
    }
}

pub fn routes(version: u64) -> RouteTable {
    let route = |service: &str, kind| Route::new(vec![(service.into(), 1)], kind);
    let table = [
        (
            address(IDEMPOTENT_PORT),
            route("classes", RequestKind::Idempotent),
        ),
        (
            address(AT_MOST_ONCE_PORT),
            route("classes", RequestKind::AtMostOnce),
        ),
        (
            address(DOWNLOAD_PORT),
            route("sheets", RequestKind::Download),
        ),
    ];
    RouteTable {
        version,
        routes: IndexMap::from(table),
        idle_timeout: Duration::from_secs(15),
    }
}

/// Returns the default options without admission, so that tests of placement can
/// place many flows at the same time.
pub fn unlimited_admission() -> Options {
    Options {
        admission: AdmissionOptions {
            policy: LimitPolicy::Unlimited,
            ..AdmissionOptions::default()
        },
        ..Options::default()
    }
}

/// Returns options without a bound on the capacity of targets either, and without
/// affinity to the local zone, so that all zones get flows.
pub fn unlimited_capacity() -> Options {
    Options {
        full_per_slot: f32::INFINITY,
        busy_per_slot: f32::INFINITY,
        local_share: 0.0,
        ..unlimited_admission()
    }
}

/// Returns an entry VM in zone `a` with `count` targets of `classes` spread over
/// the zones, numbered from 1, and two of `sheets`, numbered 101 and 102.
///
/// Time without packets doesn't count as a pause of its process, so that tests can let
/// time pass without ticks.
pub fn entry_vm(count: u64) -> Steering {
    let options = Options {
        pause: Duration::from_secs(3_600),
        ..unlimited_capacity()
    };
    entry_vm_with(count, options)
}

/// Returns the entry VM of [`entry_vm`] with other options.
pub fn entry_vm_with(count: u64, options: Options) -> Steering {
    let mut vm = Steering::new(options, "a", 1);
    vm.apply(ms(0), Change::Routes(routes(1)));
    for n in 1..=count {
        let zone = ZONES[(n as usize - 1) % ZONES.len()];
        vm.apply(ms(0), Change::Target(target(n, "classes", zone)));
    }
    for n in [101, 102] {
        vm.apply(ms(0), Change::Target(target(n, "sheets", "b")));
    }
    vm.record_store_view(ms(0));
    vm
}

/// Lets time pass after the last packet or tick at `from`, with ticks as the driver makes
/// them, so that it doesn't count as a pause of the process.
pub fn pass_time(vm: &mut Steering, from: u64, to: u64) {
    for at in (from..to).step_by(200).skip(1) {
        vm.tick(ms(at));
    }
}

pub fn opening(flow: FlowKey, copy: u32) -> Segment {
    Segment {
        flow,
        kind: PacketKind::Opening,
        sequence: 100,
        ack: 0,
        copy,
        cookie: Cookie::NONE,
    }
}

pub fn acknowledgement(flow: FlowKey, cookie: Cookie, ack: u32) -> Segment {
    Segment {
        flow,
        kind: PacketKind::Acknowledgement,
        sequence: 101,
        ack,
        copy: 0,
        cookie,
    }
}

pub fn data(flow: FlowKey, cookie: Cookie, sequence: u32, ack: u32) -> Segment {
    Segment {
        kind: PacketKind::Data,
        sequence,
        ..acknowledgement(flow, cookie, ack)
    }
}

/// Returns the number of the target that a verdict names.
pub fn target_number(vm: &Steering, verdict: Verdict) -> u64 {
    match verdict {
        Verdict::Place { target, .. } | Verdict::Forward { target, .. } => {
            vm.directory()
                .target(target)
                .expect("a known target")
                .identity
                .0
        }
        other => panic!("{other:?} names no target"),
    }
}

pub fn cookie(n: u64) -> Cookie {
    Cookie::of(Identity(n))
}

/// Opens a flow and completes its handshake. Returns the target's number.
pub fn open_flow(vm: &mut Steering, now: Instant, flow: FlowKey) -> u64 {
    let placed = vm.packet(now, &opening(flow, 0));
    let n = target_number(vm, placed);
    vm.packet(now, &acknowledgement(flow, cookie(n), 1_000));
    n
}

/// Opens flows, with caller ports counting up from `from`, until one is placed on
/// the target `wanted`; closes the others.
pub fn open_flow_on_target(
    vm: &mut Steering,
    now: Instant,
    port: u16,
    wanted: u64,
    from: u16,
) -> FlowKey {
    for caller in from..from + 2_000 {
        let flow = flow(caller, port);
        if open_flow(vm, now, flow) == wanted {
            return flow;
        }
        close_flow(vm, now, flow);
    }
    panic!("none of 2,000 flows was placed on target {wanted}");
}

pub fn close_flow(vm: &mut Steering, now: Instant, flow: FlowKey) {
    let closing = Segment {
        kind: PacketKind::Closing,
        ..acknowledgement(flow, Cookie::NONE, 1_001)
    };
    vm.packet(now, &closing);
}
