//! Exhaustive search over the orders of events in a cluster of three real nodes.
//!
//! All nodes know the first release note; one of them reads the second one from
//! the store. A breadth-first search (`pathfinding`) tries every order of message
//! arrivals, with one message lost or duplicated, ticks of the agreement's root,
//! one opening of a new flow at any node, data of the new flow at any node, and
//! data of an old flow at any node. The clock does not advance during the search,
//! so that no timeout expires. States are compared by a digest of all nodes and
//! of everything in flight.

use std::{
    collections::hash_map::DefaultHasher,
    fmt::Write,
    hash::{Hash, Hasher},
    sync::Arc,
};

use cicadaweir_core::{
    catalog::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec},
    flow::Protocol,
    hash::HashKey,
    membership::{Health, MemberUpdate, Phase},
    message::Message,
    node::{self, Guard, Node, Options},
    prelude::*,
    route::RelayHeader,
};
use pathfinding::prelude::bfs;

const NODES: u32 = 3;

/// The most states that a search may expand; exceeding it fails the test.
const MAX_STATES: usize = 12_000;

fn endpoint(text: &str) -> Endpoint {
    text.parse::<std::net::SocketAddr>()
        .expect("a valid socket address")
        .into()
}

fn target(number: u8) -> TargetSpec {
    TargetSpec {
        name: format!("t{number}"),
        endpoint: endpoint(&format!("10.0.0.{number}:6081")),
        zone: ZoneId(0),
        weight: 100,
        connections: 2_000,
        slots: 2,
        probe: None,
    }
}

fn note(revision: u64, change: Change) -> Arc<ReleaseNote> {
    Arc::new(ReleaseNote {
        revision: Revision(revision),
        id: NoteId(u128::from(revision)),
        published_ms: 0,
        changes: vec![change],
    })
}

fn first_note() -> Arc<ReleaseNote> {
    note(
        1,
        Change::AddService(ServiceSpec {
            name: "board".into(),
            addresses: vec![AddressSpec {
                protocol: Protocol::Tcp,
                endpoint: endpoint("203.0.113.1:443"),
            }],
            targets: vec![target(1), target(2)],
        }),
    )
}

fn second_note() -> Arc<ReleaseNote> {
    note(
        2,
        Change::AddTarget {
            service: "board".into(),
            target: target(3),
        },
    )
}

fn member(id: u32) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(id),
        incarnation: 1_000,
        phase: Phase::Active,
        health: Health::Alive,
        zone: ZoneId(0),
        address: endpoint(&format!("10.1.0.{}:7070", id + 1)),
    }
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        protocol: Protocol::Tcp,
        caller: endpoint(&format!("198.51.100.9:{port}")),
        address: endpoint("203.0.113.1:443"),
    }
}

/// A message or relayed packet in flight between nodes.
#[derive(Debug, Clone)]
enum InFlight {
    Message(MemberId, Message),
    Packet(PacketInfo, RelayHeader),
}

/// Three nodes, what is in flight between them, and the events that may still
/// occur.
#[derive(Clone)]
struct Cluster {
    nodes: Vec<Node>,
    now: Instant,
    in_flight: Vec<(usize, InFlight)>,
    second_note_unread: bool,
    /// The target of each delivered copy of the opening.
    opening_targets: Vec<TargetKey>,
    openings_left: u8,
    new_data_left: u8,
    old_data_left: u8,
    ticks_left: u8,
    losses_left: u8,
    duplicates_left: u8,
    new_flow: FlowKey,
    old_flow: FlowKey,
    old_target: TargetKey,
    violation: Option<&'static str>,
}

impl Cluster {
    /// Creates three settled nodes, and two flows whose buckets the second note
    /// moves and whose owner is not the node that reads the store.
    fn new(disabled_guard: Option<Guard>) -> Self {
        let options = Options {
            disabled_guard,
            ..Options::default()
        };
        let key = HashKey([5; 16]);
        let nodes = (0..NODES).map(|id| Node::new(options, key, member(id), Instant::START));
        let mut cluster = Self {
            nodes: nodes.collect(),
            now: Instant::START,
            in_flight: Vec::new(),
            second_note_unread: false,
            opening_targets: Vec::new(),
            openings_left: 0,
            new_data_left: 0,
            old_data_left: 0,
            ticks_left: 0,
            losses_left: 0,
            duplicates_left: 0,
            new_flow: flow(1),
            old_flow: flow(1),
            old_target: TargetKey(0),
            violation: None,
        };
        cluster.announce_members();
        cluster.handle_event(0, Event::Note(first_note()));
        for _ in 0..500 {
            cluster.now += node::TICK_INTERVAL;
            for at in 0..NODES as usize {
                cluster.handle_event(at, Event::Tick);
                cluster.deliver_all();
            }
        }
        cluster.select_flows();
        cluster.second_note_unread = true;
        cluster.openings_left = 1;
        cluster.new_data_left = 1;
        cluster.old_data_left = 1;
        cluster.ticks_left = 2;
        cluster.losses_left = 1;
        cluster.duplicates_left = 1;
        cluster
    }

    fn announce_members(&mut self) {
        for at in 0..NODES as usize {
            let list = (0..NODES)
                .map(|id| cicadaweir_core::membership::ListEntry {
                    id: MemberId(id),
                    zone: ZoneId(0),
                    address: member(id).address,
                })
                .collect();
            self.handle_event(at, Event::List(list));
        }
    }

    /// Selects the flows by applying the second note to a copy of a node.
    fn select_flows(&mut self) {
        let mut preview = self.nodes[0].clone();
        preview.handle(self.now, Event::Note(second_note()), &mut Vec::new());
        let moved: Vec<FlowKey> = (1..6_000)
            .map(flow)
            .filter(|f| {
                let e = preview.explain(f).expect("the address of a service");
                let last = preview.catalog().targets().count() - 1;
                let key = preview
                    .catalog()
                    .service_named("board")
                    .expect("a known service");
                let service = preview.catalog().service(key);
                let new = service.generations[1].target(e.bucket);
                new == TargetKey(last as u32) && e.owner == Some(MemberId(1))
            })
            .take(2)
            .collect();
        self.new_flow = moved[0];
        self.old_flow = moved[1];
        let e = preview
            .explain(&moved[1])
            .expect("the address of a service");
        let base = preview
            .catalog()
            .targets()
            .find(|(_, t)| t.spec.name == e.base)
            .expect("a known target");
        self.old_target = base.0;
    }

    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
    }

    fn deliver(&mut self, index: usize) {
        let (to, in_flight) = self.in_flight.remove(index);
        let event = match in_flight {
            InFlight::Message(from, message) => Event::Message { from, message },
            InFlight::Packet(info, header) => Event::Relayed {
                packet: PacketRef(0),
                info,
                header,
            },
        };
        self.handle_event(to, event);
    }

    fn handle_event(&mut self, at: usize, event: Event) {
        let info = match &event {
            Event::FromCaller { info, .. } | Event::Relayed { info, .. } => Some(*info),
            _ => None,
        };
        let mut out = Vec::new();
        self.nodes[at].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let from = MemberId(at as u32);
                    self.in_flight
                        .push((to.0 as usize, InFlight::Message(from, message)));
                }
                Action::Relay { to, header, .. } => {
                    let info = info.expect("a packet is relayed");
                    self.in_flight
                        .push((to.0 as usize, InFlight::Packet(info, header)));
                }
                Action::Forward { target, .. } => {
                    self.check_delivery(&info.expect("a packet is forwarded"), target);
                }
                _ => {}
            }
        }
    }

    /// Checks the target of a forwarded packet.
    fn check_delivery(&mut self, info: &PacketInfo, target: TargetKey) {
        if info.kind == PacketKind::Opening {
            self.opening_targets.push(target);
            let first = self.opening_targets[0];
            if self.opening_targets.iter().any(|&t| t != first) {
                self.violation = Some("an opening reached two targets");
            }
        } else if info.flow == self.new_flow {
            if self.opening_targets.first() != Some(&target) {
                self.violation = Some("data of a new flow reached another target");
            }
        } else if target != self.old_target {
            self.violation = Some("data of an old flow reached another target");
        }
    }

    fn send_from_caller(&mut self, at: usize, flow: FlowKey, kind: PacketKind) {
        let info = PacketInfo {
            flow,
            direction: Direction::ToTarget,
            kind,
            sequence: 1,
            bytes: 60,
        };
        let packet = PacketRef(0);
        self.handle_event(at, Event::FromCaller { packet, info });
    }

    /// Returns the state after each possible next event.
    fn successors(&self) -> Vec<State> {
        let mut next = Vec::new();
        let mut add_successor = |change: &dyn Fn(&mut Self)| {
            let mut cluster = self.clone();
            change(&mut cluster);
            next.push(State::new(cluster));
        };
        for index in 0..self.in_flight.len() {
            if !self.is_oldest_of_its_link(index) {
                continue;
            }
            add_successor(&|s| s.deliver(index));
            let message = matches!(self.in_flight[index].1, InFlight::Message(..));
            if self.losses_left > 0 && message {
                add_successor(&|s| {
                    s.losses_left -= 1;
                    s.in_flight.remove(index);
                });
            }
            if self.duplicates_left > 0 && message {
                add_successor(&|s| {
                    s.duplicates_left -= 1;
                    let copy = s.in_flight[index].clone();
                    s.in_flight.push(copy);
                });
            }
        }
        if self.second_note_unread {
            add_successor(&|s| {
                s.second_note_unread = false;
                s.handle_event(0, Event::Note(second_note()));
            });
        }
        if self.ticks_left > 0 {
            add_successor(&|s| {
                s.ticks_left -= 1;
                s.handle_event(0, Event::Tick);
            });
        }
        for at in 0..NODES as usize {
            if self.openings_left > 0 {
                add_successor(&|s| {
                    s.openings_left -= 1;
                    s.send_from_caller(at, s.new_flow, PacketKind::Opening);
                });
            }
            if self.new_data_left > 0 && !self.opening_targets.is_empty() {
                add_successor(&|s| {
                    s.new_data_left -= 1;
                    s.send_from_caller(at, s.new_flow, PacketKind::Data);
                });
            }
            if self.old_data_left > 0 {
                add_successor(&|s| {
                    s.old_data_left -= 1;
                    s.send_from_caller(at, s.old_flow, PacketKind::Data);
                });
            }
        }
        next
    }

    /// Returns whether nothing older is in flight on the same link. Each link
    /// delivers in order; different links are independent.
    fn is_oldest_of_its_link(&self, index: usize) -> bool {
        let link = |at: usize| {
            let (to, in_flight) = &self.in_flight[at];
            let from = match in_flight {
                InFlight::Message(from, _) => *from,
                InFlight::Packet(_, header) => header.from,
            };
            (from, *to)
        };
        (0..index).all(|older| link(older) != link(index))
    }

    /// Returns a hash of everything that determines the subsequent behaviour.
    fn digest(&self) -> u64 {
        let mut text = String::new();
        for node in &self.nodes {
            let _ = write!(text, "{node:?}");
        }
        let mut in_flight: Vec<String> = self.in_flight.iter().map(|t| format!("{t:?}")).collect();
        in_flight.sort();
        let _ = write!(
            text,
            "{in_flight:?}{:?}{}{}{}{}{}{}{}{:?}",
            self.opening_targets,
            self.second_note_unread,
            self.openings_left,
            self.new_data_left,
            self.old_data_left,
            self.ticks_left,
            self.losses_left,
            self.duplicates_left,
            self.violation
        );
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    }
}

/// A state of the search.
#[derive(Clone)]
struct State {
    cluster: Arc<Cluster>,
    digest: u64,
}

impl State {
    fn new(cluster: Cluster) -> Self {
        Self {
            digest: cluster.digest(),
            cluster: Arc::new(cluster),
        }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

/// Searches for a violation and returns it with the number of expanded states.
fn search(
    disabled_guard: Option<Guard>,
    configure: impl FnOnce(&mut Cluster),
) -> (Option<&'static str>, usize) {
    let mut start = Cluster::new(disabled_guard);
    start.ticks_left = 1;
    start.losses_left = 0;
    start.duplicates_left = 0;
    configure(&mut start);
    let mut expanded = 0;
    let path = bfs(
        &State::new(start),
        |state| {
            expanded += 1;
            assert!(expanded <= MAX_STATES, "more than {MAX_STATES} states");
            state.cluster.successors()
        },
        |state| state.cluster.violation.is_some(),
    );
    let violation = path.and_then(|p| p.last().and_then(|s| s.cluster.violation));
    (violation, expanded)
}

#[test]
fn no_order_of_events_moves_a_new_flow() {
    let (violation, expanded) = search(None, |s| s.old_data_left = 0);
    assert_eq!(violation, None);
    assert!(expanded > 100, "only {expanded} states");
}

#[test]
fn no_order_of_events_moves_an_old_flow() {
    let (violation, expanded) = search(None, |s| s.openings_left = 0);
    assert_eq!(violation, None);
    assert!(expanded > 100, "only {expanded} states");
}

#[test]
fn a_lost_or_repeated_message_moves_no_old_flow() {
    let (violation, expanded) = search(None, |s| {
        s.openings_left = 0;
        s.losses_left = 1;
        s.duplicates_left = 1;
        s.ticks_left = 0;
    });
    assert_eq!(violation, None);
    assert!(expanded > 100, "only {expanded} states");
}

#[test]
fn without_announcing_some_order_of_events_moves_a_flow() {
    let (violation, _) = search(Some(Guard::AnnounceBeforeUse), |s| s.old_data_left = 0);
    assert_eq!(violation, Some("data of a new flow reached another target"));
}
