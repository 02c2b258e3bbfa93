//! The event queue, node starts and the store.

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
    Behaviour, Caller, Links, Options, SimEvent, Target,
    event::{Packet, Scheduled},
    record::Recorder,
};

/// One entry VM of a world.
#[derive(Debug)]
pub(super) struct Vm {
    pub node: Option<Node>,
    pub zone: ZoneId,
    /// Starts so far, to ignore ticks that were scheduled before a restart.
    pub start_count: u32,
    pub paused_until: Instant,
    /// Whether the fabric sends packets to the node.
    pub in_rotation: bool,
    /// Whether the node watches the store.
    pub watching: bool,
    /// The highest revision that has been in force since the node's start.
    pub highest_in_force: Revision,
    /// Packets received by the node and not yet sent on, answered or discarded.
    pub packets: IndexMap<PacketRef, Packet>,
    pub next_ref: u32,
}

/// A published release note, and the nodes at which it is in force.
#[derive(Debug)]
pub(super) struct Published {
    pub note: Arc<ReleaseNote>,
    pub published_at: Instant,
    pub in_force_at: IndexSet<usize>,
    pub latency_recorded: bool,
}

/// The simulated system: nodes, links, targets, callers and the store, driven
/// by one event queue in virtual time.
#[derive(Debug)]
pub struct World {
    pub(super) options: Options,
    pub(super) now: Instant,
    pub(super) queue: BinaryHeap<Scheduled>,
    pub(super) last_sequence: u64,
    pub(super) random: Pcg64Mcg,
    pub(super) links: Links,
    pub(super) vms: Vec<Vm>,
    pub(super) targets: Vec<Target>,
    pub(super) callers: Vec<Caller>,
    pub(super) published: Vec<Published>,
    pub(super) store_available: bool,
    /// Requests received by targets, keyed by request and target; the value
    /// says whether the request is completed.
    pub(super) seen_requests: IndexMap<u64, bool>,
    /// Callers whose flows have lost connectivity, with the time of the loss.
    pub(super) lost_flows: IndexMap<u32, Instant>,
    pub(super) surge_start: Option<Instant>,
    /// The measures so far.
    pub measures: Measures,
    pub(super) actions: Vec<Action>,
    pub(super) recorder: Option<Recorder>,
}

/// The fleet's key in all experiments.
const HASH_KEY: HashKey = HashKey([7; 16]);

/// The start of every experiment, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_700_000_000_000;

/// The longest response time that counts as served during the surge.
pub(super) const SURGE_DEADLINE: Duration = Duration::from_secs(3);

impl World {
    /// Creates a world whose nodes start together and whose store holds the
    /// first release note.
    pub fn new(options: Options) -> Self {
        let mut world = Self {
            now: Instant::START,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            random: Pcg64Mcg::seed_from_u64(options.seed),
            links: Links::new(&options),
            vms: Vec::new(),
            targets: Vec::new(),
            callers: Vec::new(),
            published: Vec::new(),
            store_available: true,
            seen_requests: IndexMap::new(),
            lost_flows: IndexMap::new(),
            surge_start: None,
            measures: Measures::default(),
            actions: Vec::new(),
            recorder: None,
            options,
        };
        for index in 0..world.options.entry_vms {
            world.vms.push(Vm {
                node: None,
                zone: ZoneId(index as u16 % world.options.zones),
                start_count: 0,
                paused_until: Instant::START,
                in_rotation: false,
                watching: false,
                highest_in_force: Revision::default(),
                packets: IndexMap::new(),
                next_ref: 0,
            });
        }
        for index in 0..world.vms.len() {
            world.start_node(index);
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

    /// Adds a target to the world and returns its specification. The tunnel
    /// endpoint's IP address encodes the target's index.
    pub(super) fn new_target(&mut self, service: usize) -> TargetSpec {
        let options = self.options.services[service].clone();
        let index = self.targets.len();
        let zone = ZoneId(index as u16 % self.options.zones);
        self.targets.push(Target {
            service,
            zone,
            max_connections: options.max_connections,
            slots: options.slots,
            service_time: options.service_time,
            behaviour: Behaviour::Good,
            open_connections: IndexSet::new(),
            queue: Default::default(),
            busy_slots: 0,
            completed: 0,
            last_report: Default::default(),
            withdrawn: false,
        });
        let ip = [10, 9, (index / 250) as u8, (index % 250) as u8 + 1];
        TargetSpec {
            name: format!("t{index}"),
            endpoint: std::net::SocketAddr::from((ip, 6081)).into(),
            zone,
            weight: 100,
            connections: options.max_connections,
            slots: options.slots,
            probe: Some(std::net::SocketAddr::from((ip, 80)).into()),
        }
    }

    /// Starts or restarts a node with empty state.
    pub(super) fn start_node(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.start_count += 1;
        vm.in_rotation = true;
        vm.watching = false;
        vm.highest_in_force = Revision::default();
        vm.paused_until = self.now;
        let me = MemberUpdate {
            id: MemberId(index as u32),
            incarnation: START_MS + self.now.as_micros() / 1_000 + u64::from(vm.start_count),
            phase: Phase::Joining,
            health: Health::Alive,
            zone: vm.zone,
            address: peer_address(index),
        };
        vm.node = Some(Node::new(self.options.node, HASH_KEY, me, self.now));
        if self.options.record_node == Some(index) && self.now == Instant::START {
            self.recorder = Some(Recorder::new(&HASH_KEY, &me));
        }
        let vm = &mut self.vms[index];
        let start_count = vm.start_count;
        let stagger = self.random.next_u64() % node::TICK_INTERVAL.as_micros();
        let list = self.list();
        self.schedule_after(
            Duration::from_micros(stagger),
            SimEvent::Tick {
                node: index,
                start_count,
            },
        );
        self.schedule_after(
            Duration::from_millis(2),
            SimEvent::List { node: index, list },
        );
    }

    fn list(&self) -> Vec<ListEntry> {
        (0..self.vms.len())
            .map(|index| ListEntry {
                id: MemberId(index as u32),
                zone: self.vms[index].zone,
                address: peer_address(index),
            })
            .collect()
    }

    /// Publishes a release note and lets watching nodes read it.
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
            published_at: self.now,
            in_force_at: IndexSet::new(),
            latency_recorded: false,
        });
        for index in 0..self.vms.len() {
            self.read_store(index);
        }
    }

    /// Schedules the release notes that a watching node does not know yet.
    pub(super) fn read_store(&mut self, index: usize) {
        let vm = &self.vms[index];
        if !vm.watching || !self.store_available {
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
        // One call for the watch that returns, and one read per note.
        self.measures.store_calls += 1 + missing.len() as u64;
        for (position, note) in missing.into_iter().enumerate() {
            let delay = Duration::from_millis(3 + position as u64);
            self.schedule_after(delay, SimEvent::Note { node: index, note });
        }
    }

    /// Schedules an event at a time.
    pub fn schedule_at(&mut self, at: Instant, event: SimEvent) {
        self.last_sequence += 1;
        self.queue.push(Scheduled {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Adds a caller that arrives at the given time.
    pub fn add_caller(&mut self, at: Instant, caller: Caller) {
        let index = self.callers.len() as u32;
        self.callers.push(caller);
        self.schedule_at(at, SimEvent::Caller { caller: index });
    }

    /// Sets the start of the surge; callers that arrive later count as part of
    /// it.
    pub fn set_surge_start(&mut self, from: Instant) {
        self.surge_start = Some(from);
    }

    /// Processes events up to and including the given time.
    pub fn run_until(&mut self, until: Instant) {
        while let Some(next) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.dispatch(next.event);
        }
        self.now = until;
    }

    /// Returns the trace of the recorded node, empty if none was recorded.
    pub fn recorded(self) -> Vec<String> {
        self.recorder.map(Recorder::into_lines).unwrap_or_default()
    }

    /// Returns the virtual time.
    pub const fn now(&self) -> Instant {
        self.now
    }

    /// Returns the node at an index, or `None` if it is not running.
    pub fn node(&self, index: usize) -> Option<&Node> {
        self.vms[index].node.as_ref()
    }

    /// Iterates over the running nodes; suspended ones are included.
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
fn peer_address(index: usize) -> Endpoint {
    let ip = [10, 1, (index >> 8) as u8, index as u8];
    std::net::SocketAddr::from((ip, 7070)).into()
}
