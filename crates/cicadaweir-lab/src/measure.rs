//! Measures of an experiment.

use cicadaweir_core::{message::MessageKind, time::Duration};
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// A violation of an invariant that must hold with every seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A packet was forwarded to a target of another service.
    OtherService,
    /// Two targets accepted the same request.
    RanTwice,
    /// A node refused a flow whose opening had reached a target.
    RefusedAfterDelivery,
    /// A node's revision in force decreased.
    RevisionBack,
    /// A withdrawn target received a new flow more than 3 s after its
    /// withdrawal was published.
    WorkAfterWithdrawal,
    /// A caller received a packet of another flow.
    WrongAnswer,
}

/// The measures of one run, or of several added up.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Invariant violations with their counts.
    pub broken_invariants: IndexMap<Invariant, u64>,
    /// Flows whose opening or datagram was answered.
    pub opened: u64,
    /// Open flows that were reset or made no progress before the timeout.
    pub broken: u64,
    /// Indexes of the callers whose flows broke; not merged by
    /// [`add`](Self::add).
    pub broken_callers: Vec<u32>,
    /// Openings answered with a reset.
    pub refused: u64,
    /// Openings or datagrams without an answer after the last attempt.
    pub unanswered: u64,
    /// Openings delivered to more than one target.
    pub opened_twice: u64,
    /// Requests answered.
    pub answered: u64,
    /// Callers of the surge whose first request was answered within the
    /// deadline.
    pub served_in_surge: u64,
    /// Flows reset after they lost connectivity to their target.
    pub resets: u64,
    /// Response times of requests, in microseconds.
    pub request_times: Histogram<u64>,
    /// The connections of the most loaded target over the mean, at the end.
    pub imbalance: f64,
    /// For each note, the time from its publication until it was in force at
    /// every running node.
    pub note_latencies: Vec<Duration>,
    /// Bytes of messages between nodes, by kind.
    pub control_bytes: IndexMap<MessageKind, u64>,
    /// Packets relayed between nodes.
    pub relayed: u64,
    /// Packets forwarded to targets.
    pub forwarded: u64,
    /// Running time summed over all nodes, in seconds.
    pub node_seconds: f64,
    /// Calls that nodes made to the store.
    pub store_calls: u64,
    /// For flows that lost connectivity, the time from the first unanswered
    /// segment to the reset.
    pub reset_delays: Vec<Duration>,
}

/// The upper bound of the response time histogram, in microseconds.
const MAX_REQUEST_MICROS: u64 = 120_000_000;

impl Default for Measures {
    fn default() -> Self {
        let request_times = Histogram::new_with_bounds(1, MAX_REQUEST_MICROS, 3);
        Self {
            broken_invariants: IndexMap::new(),
            opened: 0,
            broken: 0,
            broken_callers: Vec::new(),
            refused: 0,
            unanswered: 0,
            opened_twice: 0,
            answered: 0,
            served_in_surge: 0,
            resets: 0,
            request_times: request_times.expect("constant histogram bounds are valid"),
            imbalance: 0.0,
            note_latencies: Vec::new(),
            control_bytes: IndexMap::new(),
            relayed: 0,
            forwarded: 0,
            node_seconds: 0.0,
            store_calls: 0,
            reset_delays: Vec::new(),
        }
    }
}

impl Measures {
    /// Counts a violation of an invariant.
    pub fn record_violation(&mut self, invariant: Invariant) {
        *self.broken_invariants.entry(invariant).or_default() += 1;
    }

    /// Returns the bytes of messages that a node sends per second, on average.
    pub fn control_rate(&self) -> f64 {
        let bytes: u64 = self.control_bytes.values().sum();
        bytes as f64 / self.node_seconds.max(1.0)
    }

    /// Returns the longest note latency, zero without notes.
    pub fn max_note_latency(&self) -> Duration {
        self.note_latencies
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
    }

    /// Adds another run's measures. Imbalances are summed; divide by the number
    /// of runs for the mean.
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
        self.served_in_surge += other.served_in_surge;
        self.resets += other.resets;
        self.request_times += &other.request_times;
        self.imbalance += other.imbalance;
        self.note_latencies.extend(&other.note_latencies);
        self.relayed += other.relayed;
        self.forwarded += other.forwarded;
        self.node_seconds += other.node_seconds;
        self.store_calls += other.store_calls;
        self.reset_delays.extend(&other.reset_delays);
    }
}
