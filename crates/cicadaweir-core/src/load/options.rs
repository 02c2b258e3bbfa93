//! Options of health checks and admission control.

use crate::time::Duration;

/// Options that determine when a target is marked and when an opening is
/// refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The interval between probes of a target.
    pub probe_interval: Duration,
    /// The number of consecutive failed probes after which a target is down.
    pub failure_threshold: u32,
    /// The number of consecutive successful probes after which a target that is
    /// down ramps up.
    pub success_threshold: u32,
    /// The time in which a target that was down ramps up to its full share.
    pub ramp: Duration,
    /// The utilization at which a target becomes hot; 1 is full.
    pub hot_threshold: f64,
    /// The utilization below which a target is no longer hot.
    pub cool_threshold: f64,
    /// The number of requests per slot that may always be pending at a target,
    /// even if its completion rate is too low for them.
    pub min_pending_per_slot: u32,
    /// The maximum time for which a request should be pending at a target.
    pub max_pending_wait: Duration,
    /// The time after which a report has expired.
    pub report_ttl: Duration,
    /// The fraction of a target's connections that may be opened within one probe
    /// interval.
    pub burst_fraction: f64,
    /// The fraction of connections in use from which on a target counts as
    /// loaded: its loads are published and openings are limited.
    pub loaded_threshold: f64,
    /// The time for which a mark must be known before openings are refused. It
    /// is longer than the interval after which most callers retransmit an
    /// opening, so that a flow whose opening was delivered earlier has been seen
    /// again by then.
    pub refuse_after: Duration,
    /// The time for which a mark must be known before new flows are placed on
    /// other targets because of load, so that all reachable members know the
    /// mark by then.
    pub deviation_delay: Duration,
    /// The minimum number of openings in a window for the fraction answered to be
    /// evaluated.
    pub passive_min_openings: u32,
    /// The fraction of answered openings below which a target counts as silent.
    pub passive_min_answered: f64,
    /// The length of the windows in which openings and their answers are counted.
    pub passive_window: Duration,
    /// The time for which a target that does not answer openings stays down at
    /// first; it doubles each time.
    pub initial_silent_down_time: Duration,
    /// Whether openings are refused when targets are full.
    pub refuse: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            failure_threshold: 3,
            success_threshold: 3,
            ramp: Duration::from_secs(20),
            hot_threshold: 0.92,
            cool_threshold: 0.80,
            min_pending_per_slot: 32,
            max_pending_wait: Duration::from_millis(500),
            report_ttl: Duration::from_secs(2),
            burst_fraction: 0.125,
            loaded_threshold: 0.5,
            refuse_after: Duration::from_millis(3_000),
            deviation_delay: Duration::from_millis(1_500),
            passive_min_openings: 8,
            passive_min_answered: 0.2,
            passive_window: Duration::from_secs(1),
            initial_silent_down_time: Duration::from_secs(10),
            refuse: true,
        }
    }
}
