//! Timing of a mirror.

use crate::time::Duration;

/// Timeouts, backoffs and delays of a mirror.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The longest time that a watch of another entry VM waits for changes. A dead
    /// connection is detected after this time plus the driver's timeout, which must
    /// be well within the time in which a change has to take effect.
    pub watch_wait: Duration,
    /// The longest time that a watch of the store waits for changes. It is shorter
    /// than `watch_wait`, so that its result passes along a chain of entry VMs
    /// before their own watches end.
    pub store_watch_wait: Duration,
    /// The backoff after the first failed call; it doubles with each further
    /// failure.
    pub initial_backoff: Duration,
    /// The upper limit of the backoff.
    pub max_backoff: Duration,
    /// The largest accepted age of another entry VM's view of the store. It covers
    /// one watch of the store and the latency of a chain of entry VMs; an older view
    /// suggests that entry VMs follow each other, or that one of them is slow.
    pub max_view_age: Duration,
    /// How long removals are delayed after an outage of the store. Within this
    /// time live owners rewrite entries whose leases expired during the outage.
    pub removal_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(1_000),
            store_watch_wait: Duration::from_millis(800),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_millis(800),
            max_view_age: Duration::from_millis(1_800),
            removal_delay: Duration::from_millis(2_200),
        }
    }
}
