//! What an experiment gives.

use cicadaweir_core::{message::MessageKind, time::Duration};
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// An invariant that must hold on every seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A packet reached a target of another service.
    OtherService,
    /// A request that must not run twice ran twice.
    RanTwice,
    /// A refused flow had been delivered to a target.
    RefusedAfterDelivery,
    /// A node's revision in force went back.
    RevisionBack,
    /// A withdrawn target got new work more than 3 s after the note.
    WorkAfterWithdrawal,
    /// An answer reached another caller's flow, or answered another request.
    WrongAnswer,
}

/// The measures of one run.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Broken invariants with their counts.
    pub broken_invariants: IndexMap<Invariant, u64>,
    /// Flows that were opened.
    pub opened: u64,
    /// Open flows that broke.
    pub broken: u64,
    /// The callers whose flows broke.
    pub broken_callers: Vec<u32>,
    /// Flows refused with nothing delivered.
    pub refused: u64,
    /// Openings or datagrams that were never answered.
    pub unanswered: u64,
    /// Openings delivered to more than one target.
    pub opened_twice: u64,
    /// Requests answered, and those of them in time.
    pub answered: u64,
    /// Requests answered in the surge within its deadline.
    pub good_in_surge: u64,
    /// Flows reset because their target went silent.
    pub resets: u64,
    /// Times of requests in microseconds.
    pub times: Histogram<u64>,
    /// The most loaded target over the mean, at the end.
    pub imbalance: f64,
    /// From the publication of each note until it was in force at every node
    /// that could be reached.
    pub note_latencies: Vec<Duration>,
    /// Bytes of messages between nodes, by kind.
    pub control_bytes: IndexMap<MessageKind, u64>,
    /// Packets relayed between nodes.
    pub relayed: u64,
    /// Packets forwarded to targets.
    pub forwarded: u64,
    /// Node seconds, for rates.
    pub node_seconds: f64,
    /// Calls that nodes made on the store.
    pub store_calls: u64,
    /// How long silent flows took to be reset.
    pub silence: Vec<Duration>,
}

/// The longest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 120_000_000;

impl Default for Measures {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, LONGEST_MICROS, 3);
        Self {
            broken_invariants: IndexMap::new(),
            opened: 0,
            broken: 0,
            broken_callers: Vec::new(),
            refused: 0,
            unanswered: 0,
            opened_twice: 0,
            answered: 0,
            good_in_surge: 0,
            resets: 0,
            times: times.expect("constant bounds"),
            imbalance: 0.0,
            note_latencies: Vec::new(),
            control_bytes: IndexMap::new(),
            relayed: 0,
            forwarded: 0,
            node_seconds: 0.0,
            store_calls: 0,
            silence: Vec::new(),
        }
    }
}

impl Measures {
    /// Counts a broken invariant.
    pub fn violate(&mut self, invariant: Invariant) {
        *self.broken_invariants.entry(invariant).or_default() += 1;
    }

    /// Returns the bytes of messages that a node sends in a second.
    pub fn control_rate(&self) -> f64 {
        let bytes: u64 = self.control_bytes.values().sum();
        bytes as f64 / self.node_seconds.max(1.0)
    }

    /// Returns the longest note latency.
    pub fn slowest_note(&self) -> Duration {
        self.note_latencies
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
    }

    /// Adds another run's measures; imbalances are summed, for a mean.
    pub fn add(&mut self, other: &Self) {
        for (&invariant, &count) in &other.broken_invariants {
            *self.broken_invariants.entry(invariant).or_default() += count;
        }
        for (&kind, &bytes) in &other.control_bytes {
            *self.control_bytes.entry(kind).or_default() += bytes;
        }
        self.opened += other.opened;
        self.broken += other.broken;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.opened_twice += other.opened_twice;
        self.answered += other.answered;
        self.good_in_surge += other.good_in_surge;
        self.resets += other.resets;
        self.times += &other.times;
        self.imbalance += other.imbalance;
        self.note_latencies.extend(&other.note_latencies);
        self.relayed += other.relayed;
        self.forwarded += other.forwarded;
        self.node_seconds += other.node_seconds;
        self.store_calls += other.store_calls;
        self.silence.extend(&other.silence);
    }
}
