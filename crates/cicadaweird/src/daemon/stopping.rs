//! How a planned stop ends.

use std::time::{Duration, Instant};

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub struct Stopping {
    asked: Instant,
    last_packet: Instant,
    quiet: Duration,
    limit: Duration,
}

impl Stopping {
    /// Begins a stop that ends after `quiet` without packets, or after
    /// `limit` in any case.
    pub fn new(now: Instant, quiet: Duration, limit: Duration) -> Self {
        Self {
            asked: now,
            last_packet: now,
            quiet,
            limit,
        }
    }

    /// Notes that a packet came.
    pub fn packet(&mut self, now: Instant) {
        self.last_packet = now;
    }

    /// Returns whether the process may end.
    pub fn is_over(&self, now: Instant, handed_over: bool) -> bool {
        let quiet = now.duration_since(self.last_packet) >= self.quiet;
        (handed_over && quiet) || now.duration_since(self.asked) >= self.limit
    }
}
