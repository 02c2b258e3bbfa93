//! The timing of failure detection.

use crate::time::Duration;

/// How often members probe each other and how long they wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The time between two probes that a member starts.
    pub probe_period: Duration,
    /// How long a direct probe may take before others are asked to probe.
    pub direct_timeout: Duration,
    /// How many others are asked to probe.
    pub indirect_probes: usize,
    /// How long a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// Every how many periods a dead member is probed, to notice the end of
    /// a partition.
    pub dead_probe_periods: u64,
    /// How long a dead member is remembered after the list dropped it.
    pub tombstone_ttl: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(80),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_millis(600),
            dead_probe_periods: 3,
            tombstone_ttl: Duration::from_secs(600),
        }
    }
}
