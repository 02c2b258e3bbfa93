//! A small site for the tests: one entry VM, its targets, and packets.

use std::net::{Ipv4Addr, SocketAddr};

use cicadaweir_core::{
    flow::{Endpoint, FlowKey, Protocol},
    packet::PacketKind,
    prelude::*,
    steer::{
        Change, Cookie, Identity, Options, RequestKind, Route, RouteTable, Segment, Steering,
        TargetSpec, TargetState, Verdict,
    },
};
use indexmap::IndexMap;

/// The port of the route whose requests may be repeated.
pub const BOARD: u16 = 8443;

/// The port of the route whose requests may run once.
pub const BOOKING: u16 = 8080;

/// The port of another service's route.
pub const SHEET: u16 = 443;

/// The zones of targets, in turn.
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
    let route = |service: &str, kind| Route {
        services: vec![(service.into(), 1)],
        kind,
    };
    let table = [
        (address(BOARD), route("classes", RequestKind::Idempotent)),
        (address(BOOKING), route("classes", RequestKind::AtMostOnce)),
        (address(SHEET), route("sheets", RequestKind::Download)),
    ];
    RouteTable {
        version,
        routes: IndexMap::from(table),
        idle_timeout: Duration::from_secs(15),
    }
}

/// Options without a bound on room, so that tests can place many flows at
/// one moment, and with little preference for the own zone, so that all zones
/// get flows.
pub fn roomy() -> Options {
    Options {
        room_per_slot: f32::INFINITY,
        busy_per_slot: f32::INFINITY,
        own_share: 0.0,
        ..Options::default()
    }
}

/// An entry VM in zone `a` with `count` targets of `classes` spread over the
/// zones, numbered from 1, and two of `sheets`, 101 and 102.
pub fn entry_vm(count: u64) -> Steering {
    entry_vm_with(count, roomy())
}

/// The same with other options.
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
pub fn chosen(vm: &Steering, verdict: Verdict) -> u64 {
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

/// Opens a flow and completes its handshake; returns the target's number.
pub fn open(vm: &mut Steering, now: Instant, flow: FlowKey) -> u64 {
    let placed = vm.packet(now, &opening(flow, 0));
    let n = chosen(vm, placed);
    vm.packet(now, &acknowledgement(flow, cookie(n), 1_000));
    n
}

/// Opens flows until one has the wanted target.
pub fn open_at(vm: &mut Steering, now: Instant, port: u16, wanted: u64, from: u16) -> FlowKey {
    for caller in from..from + 2_000 {
        let flow = flow(caller, port);
        if open(vm, now, flow) == wanted {
            return flow;
        }
        close(vm, now, flow);
    }
    panic!("no flow came to target {wanted}");
}

pub fn close(vm: &mut Steering, now: Instant, flow: FlowKey) {
    let closing = Segment {
        kind: PacketKind::Closing,
        ..acknowledgement(flow, Cookie::NONE, 1_001)
    };
    vm.packet(now, &closing);
}
