//! The queue and its turning.

use std::{collections::BinaryHeap, sync::Arc};

use cicadaweir_core::{
    catalog::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec},
    flow::Protocol,
    hash::HashKey,
    membership::{Health, ListEntry, MemberUpdate, Phase},
    node::{self, Node},
    prelude::*,
};
use indexmap::{IndexMap, IndexSet};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::measure::Measures;

use super::{
    Behaviour, Caller, Happening, Links, Options, Target,
    event::{Packet, Scheduled},
    record::Recorder,
};

/// One entry VM of a world.
#[derive(Debug)]
pub(super) struct Vm {
    pub node: Option<Node>,
    pub zone: ZoneId,
    pub life: u32,
    pub paused_until: Instant,
    /// Whether the fabric still sprays packets over it.
    pub sprayed: bool,
    pub watching: bool,
    pub highest: Revision,
    pub held: IndexMap<PacketRef, Packet>,
    pub next_ref: u32,
}

/// A published note on its way into force.
#[derive(Debug)]
pub(super) struct Published {
    pub note: Arc<ReleaseNote>,
    pub at: Instant,
    pub in_force_at: IndexSet<usize>,
    pub done: bool,
}

/// Nodes, links, targets and callers.
#[derive(Debug)]
pub struct World {
    pub(super) options: Options,
    pub(super) now: Instant,
    pub(super) queue: BinaryHeap<Scheduled>,
    pub(super) order: u64,
    pub(super) random: Pcg64Mcg,
    pub(super) links: Links,
    pub(super) vms: Vec<Vm>,
    pub(super) targets: Vec<Target>,
    pub(super) callers: Vec<Caller>,
    pub(super) published: Vec<Published>,
    pub(super) store_up: bool,
    /// Requests that targets have seen, and whether they are completed.
    pub(super) ran: IndexMap<u64, bool>,
    pub(super) lost_flows: IndexMap<u32, Instant>,
    pub(super) surge_from: Option<Instant>,
    /// What has been measured so far.
    pub measures: Measures,
    pub(super) actions: Vec<Action>,
    pub(super) recorder: Option<Recorder>,
}

/// The fleet's key in all experiments.
const HASH_KEY: HashKey = HashKey([7; 16]);

/// The start of every experiment in milliseconds since 1970.
const START_MS: u64 = 1_700_000_000_000;

/// How long a request in the surge may take.
pub(super) const SURGE_DEADLINE: Duration = Duration::from_secs(3);

impl World {
    /// Makes a world whose nodes start together and whose first release note
    /// is in the store.
    pub fn new(options: Options) -> Self {
        let mut world = Self {
            now: Instant::START,
            queue: BinaryHeap::new(),
            order: 0,
            random: Pcg64Mcg::seed_from_u64(options.seed),
            links: Links::new(&options),
            vms: Vec::new(),
            targets: Vec::new(),
            callers: Vec::new(),
            published: Vec::new(),
            store_up: true,
            ran: IndexMap::new(),
            lost_flows: IndexMap::new(),
            surge_from: None,
            measures: Measures::default(),
            actions: Vec::new(),
            recorder: None,
            options,
        };
        for at in 0..world.options.entry_vms {
            world.vms.push(Vm {
                node: None,
                zone: ZoneId(at as u16 % world.options.zones),
                life: 0,
                paused_until: Instant::START,
                sprayed: false,
                watching: false,
                highest: Revision::default(),
                held: IndexMap::new(),
                next_ref: 0,
            });
        }
        for at in 0..world.vms.len() {
            world.start_node(at);
        }
        let changes = (0..world.options.services.len())
            .map(|service| Change::AddService(world.service_spec(service)))
            .collect();
        world.publish(changes);
        world
    }

    fn service_spec(&mut self, service: usize) -> ServiceSpec {
        let options = self.options.services[service].clone();
        let targets = (0..options.targets)
            .map(|_| self.new_target(service))
            .collect();
        let ip = [10, 0, 0, service as u8 + 1];
        let address = |protocol| AddressSpec {
            protocol,
            endpoint: std::net::SocketAddr::from((ip, 443)).into(),
        };
        ServiceSpec {
            name: options.name,
            addresses: vec![address(Protocol::Tcp), address(Protocol::Udp)],
            targets,
        }
    }

    /// Adds a target to the world and returns its description. The tunnel
    /// endpoint's address is the target's index.
    pub(super) fn new_target(&mut self, service: usize) -> TargetSpec {
        let options = self.options.services[service].clone();
        let index = self.targets.len();
        let zone = ZoneId(index as u16 % self.options.zones);
        self.targets.push(Target {
            service,
            zone,
            connections: options.connections,
            slots: options.slots,
            work: options.work,
            behaviour: Behaviour::Good,
            open: IndexSet::new(),
            waiting: Default::default(),
            busy: 0,
            completed: 0,
            frozen: Default::default(),
            withdrawn: false,
        });
        let ip = [10, 9, (index / 250) as u8, (index % 250) as u8 + 1];
        TargetSpec {
            name: format!("t{index}"),
            endpoint: std::net::SocketAddr::from((ip, 6081)).into(),
            zone,
            weight: 100,
            connections: options.connections,
            slots: options.slots,
            probe: Some(std::net::SocketAddr::from((ip, 80)).into()),
        }
    }

    /// Starts a node with an empty memory.
    pub(super) fn start_node(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.life += 1;
        vm.sprayed = true;
        vm.watching = false;
        vm.highest = Revision::default();
        vm.paused_until = self.now;
        let me = MemberUpdate {
            id: MemberId(at as u32),
            incarnation: START_MS + self.now.as_micros() / 1_000 + u64::from(vm.life),
            phase: Phase::Joining,
            health: Health::Alive,
            zone: vm.zone,
            address: peer_address(at),
        };
        vm.node = Some(Node::new(self.options.node, HASH_KEY, me, self.now));
        if self.options.record_node == Some(at) && self.now == Instant::START {
            self.recorder = Some(Recorder::new(&HASH_KEY, &me));
        }
        let vm = &mut self.vms[at];
        let life = vm.life;
        let stagger = self.random.next_u64() % node::TICK_INTERVAL.as_micros();
        let list = self.list();
        self.after(
            Duration::from_micros(stagger),
            Happening::Tick { node: at, life },
        );
        self.after(Duration::from_millis(2), Happening::List { node: at, list });
    }

    fn list(&self) -> Vec<ListEntry> {
        (0..self.vms.len())
            .map(|at| ListEntry {
                id: MemberId(at as u32),
                zone: self.vms[at].zone,
                address: peer_address(at),
            })
            .collect()
    }

    /// Publishes a release note; watching nodes read it soon.
    pub(super) fn publish(&mut self, changes: Vec<Change>) {
        let revision = Revision(self.published.len() as u64 + 1);
        let note = Arc::new(ReleaseNote {
            revision,
            id: NoteId(u128::from(revision.0)),
            published_ms: START_MS + self.now.as_micros() / 1_000,
            changes,
        });
        self.published.push(Published {
            note,
            at: self.now,
            in_force_at: IndexSet::new(),
            done: false,
        });
        for at in 0..self.vms.len() {
            self.read_store(at);
        }
    }

    /// Lets a watching node read what it has missed.
    pub(super) fn read_store(&mut self, at: usize) {
        let vm = &self.vms[at];
        if !vm.watching || !self.store_up {
            return;
        }
        let Some(node) = &vm.node else {
            return;
        };
        let known = node.known_revision().0 as usize;
        let missing: Vec<Arc<ReleaseNote>> = self
            .published
            .iter()
            .skip(known)
            .map(|p| Arc::clone(&p.note))
            .collect();
        if missing.is_empty() {
            return;
        }
        // The watch that returns, and a read for each note.
        self.measures.store_calls += 1 + missing.len() as u64;
        for (number, note) in missing.into_iter().enumerate() {
            let delay = Duration::from_millis(3 + number as u64);
            self.after(delay, Happening::Note { node: at, note });
        }
    }

    /// Schedules a happening.
    pub fn at(&mut self, at: Instant, what: Happening) {
        self.order += 1;
        self.queue.push(Scheduled {
            at,
            order: self.order,
            what,
        });
    }

    pub(super) fn after(&mut self, delay: Duration, what: Happening) {
        self.at(self.now + delay, what);
    }

    /// Adds a caller that arrives at a time.
    pub fn add_caller(&mut self, at: Instant, caller: Caller) {
        let index = self.callers.len() as u32;
        self.callers.push(caller);
        self.at(at, Happening::Caller { caller: index });
    }

    /// Marks the begin of the surge, for the measures.
    pub fn set_surge(&mut self, from: Instant) {
        self.surge_from = Some(from);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(next) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.happen(next.what);
        }
        self.now = until;
    }

    /// Returns the lines that were recorded.
    pub fn recorded(self) -> Vec<String> {
        self.recorder.map(Recorder::finish).unwrap_or_default()
    }

    /// Returns the time.
    pub const fn now(&self) -> Instant {
        self.now
    }

    /// Returns a node that runs.
    pub fn node(&self, at: usize) -> Option<&Node> {
        self.vms[at].node.as_ref()
    }

    /// Iterates over the nodes that run.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.vms.iter().filter_map(|vm| vm.node.as_ref())
    }

    /// Returns the targets.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the callers.
    pub fn callers(&self) -> &[Caller] {
        &self.callers
    }
}

/// Returns the peer address of a node.
fn peer_address(at: usize) -> Endpoint {
    let ip = [10, 1, (at >> 8) as u8, at as u8];
    std::net::SocketAddr::from((ip, 7070)).into()
}
