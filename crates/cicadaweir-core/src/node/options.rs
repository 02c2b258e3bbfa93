//! Settings of a node.

use super::Guard;
use crate::{
    agreement, flow::ExpiryOptions, load, membership, placement, route::Policy, time::Duration,
};

/// Everything that can be set on a [`super::Node`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Failure detection.
    pub membership: membership::Options,
    /// Agreement on revisions.
    pub agreement: agreement::Options,
    /// Tables of generations.
    pub placement: placement::Options,
    /// Load and admission.
    pub load: load::Options,
    /// How long flows are remembered.
    pub expiry: ExpiryOptions,
    /// The most flows that are remembered.
    pub max_flows: usize,
    /// A gap between two ticks above which the process counts as paused.
    pub pause_limit: Duration,
    /// How long an entry VM that hears no other member waits before it
    /// serves by itself.
    pub isolation: Duration,
    /// How long a packet waits for the others' memory of its flow.
    pub lookup_timeout: Duration,
    /// How long callers repeat a datagram that is not answered.
    pub repeat_horizon: Duration,
    /// The most flows that wait at once.
    pub most_lookups: usize,
    /// Bytes a second for handing over exceptions.
    pub hand_over_rate: u32,
    /// Bytes a second for lookups.
    pub lookup_rate: u32,
    /// How long a planned stop waits for its successors.
    pub leave_timeout: Duration,
    /// How long a target may stay silent while its caller sends, before the
    /// flow counts as broken.
    pub silence_timeout: Duration,
    /// How many entry VMs of a zone watch the store.
    pub watchers_per_zone: usize,
    /// How new flows get their target.
    pub policy: Policy,
    /// A guard that is taken away, for proofs only.
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
            pause_limit: Duration::from_millis(700),
            isolation: Duration::from_secs(2),
            lookup_timeout: Duration::from_millis(100),
            repeat_horizon: Duration::from_secs(20),
            most_lookups: 256,
            hand_over_rate: 4_096,
            lookup_rate: 2_048,
            leave_timeout: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(10),
            watchers_per_zone: 2,
            policy: Policy::Owned,
            disabled_guard: None,
        }
    }
}
