//! How a planned stop ends.

use std::time::{Duration, Instant};

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    asked: Instant,
    last_packet: Instant,
    limits: StopLimits,
}

/// How long a planned stop takes.
#[derive(Debug, Clone, Copy)]
pub struct StopLimits {
    /// It lasts so long at least.
    pub min_duration: Duration,
    /// It ends after so long without packets.
    pub idle_timeout: Duration,
    /// It ends after so long in any case.
    pub max_duration: Duration,
}

impl PlannedStop {
    /// Begins a stop.
    pub fn new(now: Instant, limits: StopLimits) -> Self {
        Self {
            asked: now,
            last_packet: now,
            limits,
        }
    }

    /// Notes that a packet came.
    pub fn record_packet(&mut self, now: Instant) {
        self.last_packet = now;
    }

    /// Returns whether the process may end. `handed_over` tells that nothing
    /// depends on it any more.
    pub fn is_complete(&self, now: Instant, handed_over: bool) -> bool {
        let lasted = now.duration_since(self.asked);
        let quiet = now.duration_since(self.last_packet) >= self.limits.idle_timeout;
        let done = handed_over && quiet && lasted >= self.limits.min_duration;
        done || lasted >= self.limits.max_duration
    }
}
