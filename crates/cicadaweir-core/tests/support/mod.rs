//! Fixtures, and a driver for one node.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::{net::SocketAddr, sync::Arc};

use cicadaweir_core::{
    catalog::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec},
    flow::Protocol,
    hash::HashKey,
    membership::{Health, MemberUpdate, Phase},
    message::{Gossip, Message},
    node::{Node, Options},
    prelude::*,
};

pub const HASH_KEY: HashKey = HashKey([3; 16]);

pub fn endpoint(text: &str) -> Endpoint {
    text.parse::<SocketAddr>().expect("a socket address").into()
}

pub fn target(name: &str, host: u8) -> TargetSpec {
    TargetSpec {
        name: name.to_owned(),
        endpoint: endpoint(&format!("10.0.0.{host}:6081")),
        zone: ZoneId(0),
        weight: 100,
        connections: 2_000,
        slots: 2,
        probe: Some(endpoint(&format!("10.0.0.{host}:80"))),
    }
}

pub fn address(text: &str) -> AddressSpec {
    AddressSpec {
        protocol: Protocol::Tcp,
        endpoint: endpoint(text),
    }
}

pub fn service(name: &str, address_text: &str, hosts: std::ops::Range<u8>) -> Change {
    let both = [Protocol::Tcp, Protocol::Udp].map(|protocol| AddressSpec {
        protocol,
        endpoint: endpoint(address_text),
    });
    Change::AddService(ServiceSpec {
        name: name.to_owned(),
        addresses: both.to_vec(),
        targets: hosts.map(|h| target(&format!("t{h}"), h)).collect(),
    })
}

pub fn note(revision: u64, changes: Vec<Change>) -> ReleaseNote {
    ReleaseNote {
        revision: Revision(revision),
        id: NoteId(u128::from(revision)),
        published_ms: 0,
        changes,
    }
}

pub fn member(id: u32) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(id),
        incarnation: 1_000,
        phase: Phase::Active,
        health: Health::Alive,
        zone: ZoneId(0),
        address: endpoint(&format!("10.1.0.{}:7070", id + 1)),
    }
}

pub fn flow(protocol: Protocol, port: u16) -> FlowKey {
    FlowKey {
        protocol,
        caller: endpoint(&format!("198.51.100.9:{port}")),
        address: endpoint("203.0.113.1:443"),
    }
}

pub fn packet(flow: FlowKey, kind: PacketKind) -> PacketInfo {
    PacketInfo {
        flow,
        direction: Direction::ToTarget,
        kind,
        sequence: 7,
        bytes: 60,
    }
}

pub fn answer(flow: FlowKey, kind: PacketKind) -> PacketInfo {
    PacketInfo {
        direction: Direction::ToCaller,
        ..packet(flow, kind)
    }
}

/// A node with a clock that the test advances.
pub struct Driver {
    pub node: Node,
    pub now: Instant,
}

impl Driver {
    /// Returns an active node that knows itself, some peers and the first note.
    pub fn active(options: Options, peers: &[u32], first: Vec<Change>) -> Self {
        let mut driver = Self {
            node: Node::new(options, HASH_KEY, member(0), Instant::START),
            now: Instant::START,
        };
        for &id in peers {
            driver.receive_probe(id, vec![member(id)]);
        }
        driver.handle(Event::Note(Arc::new(note(1, first))));
        for _ in 0..300 {
            driver.tick_with_answers();
        }
        driver
    }

    /// Processes an event now and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.node.handle(self.now, event, &mut out);
        out
    }

    /// Receives a probe from a peer, with member records in its gossip.
    pub fn receive_probe(&mut self, from: u32, members: Vec<MemberUpdate>) -> Vec<Action> {
        let gossip = Gossip {
            known: self.node.known_revision(),
            agreed: self.node.in_force(),
            members,
            ..Gossip::default()
        };
        self.handle(Event::Message {
            from: MemberId(from),
            message: Message::Probe {
                sequence: 1,
                gossip,
            },
        })
    }

    /// Advances the clock by one tick and sends it to the node.
    pub fn tick(&mut self) -> Vec<Action> {
        self.now += cicadaweir_core::node::TICK_INTERVAL;
        self.handle(Event::Tick)
    }

    /// Ticks once, then lets all peers answer the node's probes and requests for
    /// exceptions, and report that they know every revision.
    pub fn tick_with_answers(&mut self) -> Vec<Action> {
        let actions = self.tick();
        for action in &actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            let known = self.node.known_revision();
            let answer = match message {
                Message::Probe { sequence, .. } => Message::ProbeAnswer {
                    member: *to,
                    sequence: *sequence,
                    gossip: Gossip {
                        known,
                        agreed: self.node.in_force(),
                        ..Gossip::default()
                    },
                },
                Message::ExceptionsRequest { take_over, .. } => Message::Exceptions {
                    flows: Vec::new(),
                    last: true,
                    take_over: *take_over,
                },
                _ => continue,
            };
            self.receive_message(to.0, answer);
            self.receive_message(to.0, Message::Known { revision: known });
        }
        actions
    }

    pub fn receive_message(&mut self, from: u32, message: Message) -> Vec<Action> {
        self.handle(Event::Message {
            from: MemberId(from),
            message,
        })
    }

    pub fn send_from_caller(&mut self, flow: FlowKey, kind: PacketKind) -> Vec<Action> {
        self.handle(Event::FromCaller {
            packet: PacketRef(1),
            info: packet(flow, kind),
        })
    }

    pub fn send_from_target(&mut self, flow: FlowKey, kind: PacketKind, from: &str) -> Vec<Action> {
        self.handle(Event::FromTarget {
            packet: PacketRef(2),
            info: answer(flow, kind),
            from: endpoint(from),
        })
    }

    /// Returns the name of the target that the actions forward to.
    pub fn forwarded_target(&self, actions: &[Action]) -> Option<String> {
        actions.iter().find_map(|a| match a {
            Action::Forward { target, .. } => {
                Some(self.node.catalog().target(*target).spec.name.clone())
            }
            _ => None,
        })
    }
}
