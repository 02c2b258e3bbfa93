//! Deciding when a planned stop is complete.

use std::time::{Duration, Instant};

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    started: Instant,
    last_packet: Instant,
    limits: StopLimits,
}

/// Bounds on the duration of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopLimits {
    /// The shortest duration of the stop.
    pub min_duration: Duration,
    /// The time without packets after which the stop may be complete.
    pub idle_timeout: Duration,
    /// The duration after which the stop is complete in any case.
    pub max_duration: Duration,
}

impl PlannedStop {
    /// Starts a planned stop.
    pub fn new(now: Instant, limits: StopLimits) -> Self {
        Self {
            started: now,
            last_packet: now,
            limits,
        }
    }

    /// Records the arrival of a packet, which restarts the idle timeout.
    pub fn record_packet(&mut self, now: Instant) {
        self.last_packet = now;
    }

    /// Returns whether the process may exit. `handed_over` says that no other
    /// entry VM depends on its state any more.
    pub fn is_complete(&self, now: Instant, handed_over: bool) -> bool {
        let elapsed = now.duration_since(self.started);
        let idle = now.duration_since(self.last_packet) >= self.limits.idle_timeout;
        let done = handed_over && idle && elapsed >= self.limits.min_duration;
        done || elapsed >= self.limits.max_duration
    }
}
