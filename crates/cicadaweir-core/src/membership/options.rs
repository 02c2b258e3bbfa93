//! Parameters of failure detection.

use crate::time::Duration;

/// Timing and fan-out of probes, and retention of dead members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The interval between probes, and the time within which a probe must be
    /// acknowledged.
    pub probe_period: Duration,
    /// The time without an acknowledgement after which indirect probes are
    /// requested.
    pub direct_timeout: Duration,
    /// The number of members that are asked for indirect probes.
    pub indirect_probes: usize,
    /// The time within which a suspect must refute.
    pub suspicion_timeout: Duration,
    /// The number of periods between probes of a dead member, which detect the
    /// end of a partition.
    pub dead_probe_periods: u64,
    /// How long a dead member that is not listed is kept.
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
