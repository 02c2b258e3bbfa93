//! How a planned stop ends.

use std::time::{Duration, Instant};

use crate::settings::CookieLimits;

/// A planned stop in progress.
#[derive(Debug, Clone, Copy)]
pub struct Stopping {
    asked: Instant,
    last_packet: Instant,
    least: Duration,
    quiet: Duration,
    most: Duration,
}

impl Stopping {
    /// Begins a stop. It lasts until the routers have noticed, and goes on
    /// while packets come, up to a limit.
    pub fn new(now: Instant, limits: &CookieLimits) -> Self {
        Self {
            asked: now,
            last_packet: now,
            least: Duration::from_millis(limits.stop_least_ms),
            quiet: Duration::from_millis(limits.stop_quiet_ms),
            most: Duration::from_millis(limits.stop_most_ms),
        }
    }

    /// Notes that a packet came.
    pub fn packet(&mut self, now: Instant) {
        self.last_packet = now;
    }

    /// Returns whether the process may end.
    pub fn is_over(&self, now: Instant) -> bool {
        let lasted = now.duration_since(self.asked);
        let quiet = now.duration_since(self.last_packet) >= self.quiet;
        (lasted >= self.least && quiet) || lasted >= self.most
    }
}
