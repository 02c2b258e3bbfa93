//! The timing of failure detection.

use crate::time::Duration;

/// How often members probe each other and how long they wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The time between two probes that a member starts.
    pub period: Duration,
    /// How long a direct probe may take before others are asked to probe.
    pub direct_timeout: Duration,
    /// How many others are asked to probe.
    pub indirect: usize,
    /// How long a suspected member has to refute.
    pub suspicion: Duration,
    /// Every how many periods a dead member is probed, to notice the end of
    /// a partition.
    pub dead_probe_periods: u64,
    /// How long a dead member is remembered after the list dropped it.
    pub tombstone: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(80),
            indirect: 2,
            suspicion: Duration::from_millis(600),
            dead_probe_periods: 3,
            tombstone: Duration::from_secs(600),
        }
    }
}
