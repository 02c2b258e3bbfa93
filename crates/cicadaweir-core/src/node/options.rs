//! Configuration of a node.

use super::Guard;
use crate::{
    agreement, flow::ExpiryOptions, load, membership, placement, route::Policy, time::Duration,
};

/// The configuration of a [`super::Node`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Failure detection.
    pub membership: membership::Options,
    /// Agreement on revisions.
    pub agreement: agreement::Options,
    /// Placement tables of generations.
    pub placement: placement::Options,
    /// Load and admission.
    pub load: load::Options,
    /// How long flows are kept in the flow table.
    pub expiry: ExpiryOptions,
    /// The maximum number of flows in the flow table.
    pub max_flows: usize,
    /// The gap between two ticks above which the process counts as paused.
    pub pause_threshold: Duration,
    /// How long an entry VM waits for an answer from another member before it
    /// places flows on its own.
    pub isolation_timeout: Duration,
    /// How long a packet waits for the answers to a lookup of its flow.
    pub lookup_timeout: Duration,
    /// How long callers retransmit an unanswered datagram.
    pub datagram_retransmission_window: Duration,
    /// The maximum number of flows that wait for a lookup at the same time.
    pub max_pending_lookups: usize,
    /// The bandwidth for transferring exceptions, in bytes per second.
    pub exception_bytes_per_sec: u32,
    /// The bandwidth for lookups, in bytes per second.
    pub lookup_bytes_per_sec: u32,
    /// How long a planned stop waits for the next owners to fetch exceptions.
    pub leave_timeout: Duration,
    /// How long a target may send nothing while its caller retransmits, before
    /// the flow is reset.
    pub silence_timeout: Duration,
    /// The number of entry VMs per zone that watch the store.
    pub watchers_per_zone: usize,
    /// The policy that assigns targets to new flows.
    pub policy: Policy,
    /// A guard to disable; for tests only.
    pub disabled_guard: Option<Guard>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            membership: membership::Options::default(),
            agreement: agreement::Options::default(),
            placement: placement::Options::default(),
            load: load::Options::default(),
            expiry: ExpiryOptions::default(),
            max_flows: 600_000,
            pause_threshold: Duration::from_millis(700),
            isolation_timeout: Duration::from_secs(2),
            lookup_timeout: Duration::from_millis(100),
            datagram_retransmission_window: Duration::from_secs(20),
            max_pending_lookups: 256,
            exception_bytes_per_sec: 4_096,
            lookup_bytes_per_sec: 2_048,
            leave_timeout: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(10),
            watchers_per_zone: 2,
            policy: Policy::Owned,
            disabled_guard: None,
        }
    }
}
