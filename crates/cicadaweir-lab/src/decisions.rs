//! The time of one forwarding decision, and the memory of one flow.

use std::{hint::black_box, sync::Arc, time::Instant as Clock};

use cicadaweir_core::{
    catalog::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec},
    flow::Protocol,
    hash::HashKey,
    membership::{Health, MemberUpdate, Phase},
    node::{self, Node, Options},
    prelude::*,
};

/// The cost of one decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// The time for a packet of a remembered flow, in nanoseconds.
    pub known_flow_ns: f64,
    /// The time for the opening of a new flow among 14 targets, in nanoseconds.
    pub new_flow_ns: f64,
    /// Bytes allocated by the flow table for each flow.
    pub flow_bytes: f64,
}

/// The number of remembered flows.
const FLOWS: u32 = 500_000;

/// The number of timed decisions for remembered flows.
const ROUNDS: u32 = 1_000_000;

/// The service's address, 203.0.113.1:443 in its IPv6-mapped form.
const SERVICE: Endpoint = Endpoint {
    ip: [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 203, 0, 113, 1],
    port: 443,
};

fn endpoint(text: &str) -> Endpoint {
    let address: std::net::SocketAddr = text.parse().expect("a valid constant address");
    address.into()
}

/// Returns a settled node with one service of 14 targets, and its time.
fn start_node() -> (Node, Instant) {
    let me = MemberUpdate {
        id: MemberId(1),
        incarnation: 1,
        phase: Phase::Active,
        health: Health::Alive,
        zone: ZoneId(0),
        address: endpoint("10.1.0.1:7070"),
    };
    let mut options = Options::default();
    options.load.refuse = false;
    let mut node = Node::new(options, HashKey([1; 16]), me, Instant::START);
    let targets = (1..=14)
        .map(|number| TargetSpec {
            name: format!("t{number}"),
            endpoint: endpoint(&format!("10.9.0.{number}:6081")),
            zone: ZoneId(0),
            weight: 100,
            connections: 100_000,
            slots: 2,
            probe: None,
        })
        .collect();
    let service = ServiceSpec {
        name: "board".into(),
        addresses: vec![AddressSpec {
            protocol: Protocol::Tcp,
            endpoint: endpoint("203.0.113.1:443"),
        }],
        targets,
    };
    let note = ReleaseNote {
        revision: Revision(1),
        id: NoteId(1),
        published_ms: 0,
        changes: vec![Change::AddService(service)],
    };
    let mut now = Instant::START;
    let mut out = Vec::new();
    node.handle(now, Event::Note(Arc::new(note)), &mut out);
    for _ in 0..400 {
        now += node::TICK_INTERVAL;
        node.handle(now, Event::Tick, &mut out);
        out.clear();
    }
    (node, now)
}

fn packet(number: u32, kind: PacketKind) -> Event {
    let [a, b, c, d] = number.to_be_bytes();
    let caller = std::net::SocketAddr::from(([100 + a, b, c, d], 40_000));
    Event::FromCaller {
        packet: PacketRef(0),
        info: PacketInfo {
            flow: FlowKey {
                protocol: Protocol::Tcp,
                caller: caller.into(),
                address: SERVICE,
            },
            direction: Direction::ToTarget,
            kind,
            sequence: 1,
            bytes: 100,
        },
    }
}

/// Measures the decisions of one node that remembers [`FLOWS`] flows.
pub fn measure() -> Cost {
    let (mut node, now) = start_node();
    let mut out = Vec::with_capacity(16);
    let mut handle = |node: &mut Node, event: Event| {
        node.handle(now, event, &mut out);
        black_box(&out);
        out.clear();
    };
    for number in 0..FLOWS {
        handle(&mut node, packet(number, PacketKind::Opening));
    }
    let flow_bytes = node.flows().allocated_bytes() as f64 / node.flows().len() as f64;
    // A stride that is coprime to the number of flows visits all of them in an
    // order that the processor does not prefetch.
    let clock = Clock::now();
    for n in 0..ROUNDS {
        let number = n.wrapping_mul(7_919) % FLOWS;
        handle(&mut node, packet(number, PacketKind::Data));
    }
    let known_flow_ns = clock.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
    let new_flows = 90_000;
    let clock = Clock::now();
    for number in FLOWS..FLOWS + new_flows {
        handle(&mut node, packet(number, PacketKind::Opening));
    }
    let new_flow_ns = clock.elapsed().as_nanos() as f64 / f64::from(new_flows);
    Cost {
        known_flow_ns,
        new_flow_ns,
        flow_bytes,
    }
}
