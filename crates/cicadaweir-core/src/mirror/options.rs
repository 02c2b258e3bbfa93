//! Bounds of a mirror.

use crate::time::Duration;

/// How a mirror waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a watch waits: a channel that has gone silent is noticed
    /// after this and the driver's time-out, well before a change must be in
    /// force.
    pub watch_wait: Duration,
    /// The pause after a first failed call.
    pub retry_pause: Duration,
    /// The longest pause after failed calls.
    pub longest_pause: Duration,
    /// How long removals are held back after the store has come back: live
    /// owners of entries that lapsed meanwhile write them again by then.
    pub removal_hold: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(1_000),
            retry_pause: Duration::from_millis(200),
            longest_pause: Duration::from_millis(800),
            removal_hold: Duration::from_millis(2_200),
        }
    }
}
