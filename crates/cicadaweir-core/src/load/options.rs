//! Thresholds of the load policy.

use crate::time::Duration;

/// When a target is marked and when an opening is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The time between two probes of a target.
    pub probe_interval: Duration,
    /// Failed probes in a row after which a target is down.
    pub failures: u32,
    /// Good probes in a row after which a target that was down ramps up.
    pub successes: u32,
    /// How long a target that was down takes to get its full share.
    pub ramp: Duration,
    /// The part of connections in use at which a target is hot.
    pub hot: f64,
    /// The part of connections in use below which a hot target is not.
    pub cool: f64,
    /// Requests that may be pending at a target for each of its slots, even
    /// if the target seems too slow for them.
    pub pending_per_slot: u32,
    /// How long a pending request may wait at a target.
    pub longest_wait: Duration,
    /// How long a report counts.
    pub report_age: Duration,
    /// The part of a target's connections that may be opened within one probe
    /// interval while nothing is known to be wrong.
    pub burst: f64,
    /// The part of connections in use above which loads are published.
    pub loaded: f64,
    /// How long a mark must be known before openings are refused: longer
    /// than most callers wait before they repeat an opening.
    pub refuse_after: Duration,
    /// How long a mark must be known before flows deviate because of load.
    pub deviation_delay: Duration,
    /// Openings seen in a window before their answers are judged.
    pub passive_openings: u32,
    /// The part of openings answered below which a target counts as silent.
    pub passive_answered: f64,
    /// The window in which openings and their answers are counted.
    pub passive_window: Duration,
    /// How long a target that was silent to callers stays down at first.
    pub silent_hold: Duration,
    /// Whether openings are refused at all.
    pub refuse: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            failures: 3,
            successes: 3,
            ramp: Duration::from_secs(20),
            hot: 0.92,
            cool: 0.80,
            pending_per_slot: 32,
            longest_wait: Duration::from_millis(500),
            report_age: Duration::from_secs(2),
            burst: 0.125,
            loaded: 0.5,
            refuse_after: Duration::from_millis(3_000),
            deviation_delay: Duration::from_millis(1_500),
            passive_openings: 8,
            passive_answered: 0.2,
            passive_window: Duration::from_secs(1),
            silent_hold: Duration::from_secs(10),
            refuse: true,
        }
    }
}
