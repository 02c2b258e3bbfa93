//! Every order of events in small configurations of real nodes.
//!
//! Three nodes know the first release note; the second one is read from the
//! store by one of them. Breadth-first search (`pathfinding`) tries every
//! order in which messages arrive, with one message lost or repeated, the
//! root's tick, one opening of a new flow at any node, data of the new flow at
//! any node, and data of an old flow at any node. Time stands still, so that
//! no bound forces anything. States are told apart by a digest of all nodes
//! and everything under way.

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

/// States after which a search gives up; reaching it is a failure.
const MOST_STATES: usize = 12_000;

fn endpoint(text: &str) -> Endpoint {
    text.parse::<std::net::SocketAddr>()
        .expect("an address")
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

/// What is under way between nodes.
#[derive(Debug, Clone)]
enum Transit {
    Message(MemberId, Message),
    Packet(PacketInfo, RelayHeader),
}

/// Three nodes and what is under way.
#[derive(Clone)]
struct Small {
    nodes: Vec<Node>,
    now: Instant,
    transit: Vec<(usize, Transit)>,
    note_unread: bool,
    opened_at: Vec<TargetKey>,
    openings_left: u8,
    new_data_left: u8,
    old_data_left: u8,
    ticks_left: u8,
    losses_left: u8,
    repeats_left: u8,
    new_flow: FlowKey,
    old_flow: FlowKey,
    old_target: TargetKey,
    violation: Option<&'static str>,
}

impl Small {
    /// Builds three settled nodes and finds a bucket that will move and whose
    /// owner is not the node that reads the store.
    fn new(without: Option<Guard>) -> Self {
        let options = Options {
            disabled_guard: without,
            ..Options::default()
        };
        let key = HashKey([5; 16]);
        let nodes = (0..NODES).map(|id| Node::new(options, key, member(id), Instant::START));
        let mut small = Self {
            nodes: nodes.collect(),
            now: Instant::START,
            transit: Vec::new(),
            note_unread: false,
            opened_at: Vec::new(),
            openings_left: 0,
            new_data_left: 0,
            old_data_left: 0,
            ticks_left: 0,
            losses_left: 0,
            repeats_left: 0,
            new_flow: flow(1),
            old_flow: flow(1),
            old_target: TargetKey(0),
            violation: None,
        };
        small.introduce();
        small.event(0, Event::Note(first_note()));
        for _ in 0..500 {
            small.now += node::TICK_INTERVAL;
            for at in 0..NODES as usize {
                small.event(at, Event::Tick);
                small.deliver_all();
            }
        }
        small.choose_flows();
        small.note_unread = true;
        small.openings_left = 1;
        small.new_data_left = 1;
        small.old_data_left = 1;
        small.ticks_left = 2;
        small.losses_left = 1;
        small.repeats_left = 1;
        small
    }

    fn introduce(&mut self) {
        for at in 0..NODES as usize {
            let list = (0..NODES)
                .map(|id| cicadaweir_core::membership::ListEntry {
                    id: MemberId(id),
                    zone: ZoneId(0),
                    address: member(id).address,
                })
                .collect();
            self.event(at, Event::List(list));
        }
    }

    /// Tries the second note on a copy to see which buckets it moves.
    fn choose_flows(&mut self) {
        let mut preview = self.nodes[0].clone();
        preview.handle(self.now, Event::Note(second_note()), &mut Vec::new());
        let moved: Vec<FlowKey> = (1..6_000)
            .map(flow)
            .filter(|f| {
                let e = preview.explain(f).expect("an address");
                let last = preview.catalog().targets().count() - 1;
                let key = preview.catalog().service_named("board").expect("known");
                let service = preview.catalog().service(key);
                let new = service.generations[1].target(e.bucket);
                new == TargetKey(last as u32) && e.owner == Some(MemberId(1))
            })
            .take(2)
            .collect();
        self.new_flow = moved[0];
        self.old_flow = moved[1];
        let e = preview.explain(&moved[1]).expect("an address");
        let base = preview
            .catalog()
            .targets()
            .find(|(_, t)| t.spec.name == e.base)
            .expect("known");
        self.old_target = base.0;
    }

    fn deliver_all(&mut self) {
        while !self.transit.is_empty() {
            self.deliver(0);
        }
    }

    fn deliver(&mut self, index: usize) {
        let (to, transit) = self.transit.remove(index);
        let event = match transit {
            Transit::Message(from, message) => Event::Message { from, message },
            Transit::Packet(info, header) => Event::Relayed {
                packet: PacketRef(0),
                info,
                header,
            },
        };
        self.event(to, event);
    }

    fn event(&mut self, at: usize, event: Event) {
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
                    self.transit
                        .push((to.0 as usize, Transit::Message(from, message)));
                }
                Action::Relay { to, header, .. } => {
                    let info = info.expect("a packet is relayed");
                    self.transit
                        .push((to.0 as usize, Transit::Packet(info, header)));
                }
                Action::Forward { target, .. } => {
                    self.delivered(&info.expect("a packet is forwarded"), target);
                }
                _ => {}
            }
        }
    }

    /// Checks what a target gets.
    fn delivered(&mut self, info: &PacketInfo, target: TargetKey) {
        if info.kind == PacketKind::Opening {
            self.opened_at.push(target);
            let first = self.opened_at[0];
            if self.opened_at.iter().any(|&t| t != first) {
                self.violation = Some("an opening reached two targets");
            }
        } else if info.flow == self.new_flow {
            if self.opened_at.first() != Some(&target) {
                self.violation = Some("data of a new flow reached another target");
            }
        } else if target != self.old_target {
            self.violation = Some("data of an old flow reached another target");
        }
    }

    fn caller(&mut self, at: usize, flow: FlowKey, kind: PacketKind) {
        let info = PacketInfo {
            flow,
            direction: Direction::ToTarget,
            kind,
            sequence: 1,
            bytes: 60,
        };
        let packet = PacketRef(0);
        self.event(at, Event::FromCaller { packet, info });
    }

    /// Returns the states after every possible next event.
    fn successors(&self) -> Vec<State> {
        let mut next = Vec::new();
        let mut try_one = |change: &dyn Fn(&mut Self)| {
            let mut small = self.clone();
            change(&mut small);
            next.push(State::new(small));
        };
        for index in 0..self.transit.len() {
            if !self.is_first_of_its_link(index) {
                continue;
            }
            try_one(&|s| s.deliver(index));
            let message = matches!(self.transit[index].1, Transit::Message(..));
            if self.losses_left > 0 && message {
                try_one(&|s| {
                    s.losses_left -= 1;
                    s.transit.remove(index);
                });
            }
            if self.repeats_left > 0 && message {
                try_one(&|s| {
                    s.repeats_left -= 1;
                    let copy = s.transit[index].clone();
                    s.transit.push(copy);
                });
            }
        }
        if self.note_unread {
            try_one(&|s| {
                s.note_unread = false;
                s.event(0, Event::Note(second_note()));
            });
        }
        if self.ticks_left > 0 {
            try_one(&|s| {
                s.ticks_left -= 1;
                s.event(0, Event::Tick);
            });
        }
        for at in 0..NODES as usize {
            if self.openings_left > 0 {
                try_one(&|s| {
                    s.openings_left -= 1;
                    s.caller(at, s.new_flow, PacketKind::Opening);
                });
            }
            if self.new_data_left > 0 && !self.opened_at.is_empty() {
                try_one(&|s| {
                    s.new_data_left -= 1;
                    s.caller(at, s.new_flow, PacketKind::Data);
                });
            }
            if self.old_data_left > 0 {
                try_one(&|s| {
                    s.old_data_left -= 1;
                    s.caller(at, s.old_flow, PacketKind::Data);
                });
            }
        }
        next
    }

    /// Returns whether nothing older is under way between the same nodes:
    /// links keep their order, and different links overtake each other.
    fn is_first_of_its_link(&self, index: usize) -> bool {
        let link = |at: usize| {
            let (to, transit) = &self.transit[at];
            let from = match transit {
                Transit::Message(from, _) => *from,
                Transit::Packet(_, header) => header.from,
            };
            (from, *to)
        };
        (0..index).all(|older| link(older) != link(index))
    }

    fn digest(&self) -> u64 {
        let mut text = String::new();
        for node in &self.nodes {
            let _ = write!(text, "{node:?}");
        }
        let mut transit: Vec<String> = self.transit.iter().map(|t| format!("{t:?}")).collect();
        transit.sort();
        let _ = write!(
            text,
            "{transit:?}{:?}{}{}{}{}{}{}{}{:?}",
            self.opened_at,
            self.note_unread,
            self.openings_left,
            self.new_data_left,
            self.old_data_left,
            self.ticks_left,
            self.losses_left,
            self.repeats_left,
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
    small: Arc<Small>,
    digest: u64,
}

impl State {
    fn new(small: Small) -> Self {
        Self {
            digest: small.digest(),
            small: Arc::new(small),
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

/// Searches for a violation; returns it, and how many states were expanded.
fn search(without: Option<Guard>, limit: impl FnOnce(&mut Small)) -> (Option<&'static str>, usize) {
    let mut start = Small::new(without);
    start.ticks_left = 1;
    start.losses_left = 0;
    start.repeats_left = 0;
    limit(&mut start);
    let mut expanded = 0;
    let path = bfs(
        &State::new(start),
        |state| {
            expanded += 1;
            assert!(expanded <= MOST_STATES, "more than {MOST_STATES} states");
            state.small.successors()
        },
        |state| state.small.violation.is_some(),
    );
    let violation = path.and_then(|p| p.last().and_then(|s| s.small.violation));
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
        s.repeats_left = 1;
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
