//! The load of a target, as the callers' packets show it.

use crate::time::{Duration, Instant};

/// The time constant of the request rate's exponential decay.
const RATE_WINDOW: Duration = Duration::from_millis(1_000);

/// The load of one target that comes through this entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetLoad {
    /// Flows that are opening or open.
    pub open: u32,
    /// Requests without a response so far; a new flow counts as one from its
    /// opening on.
    pub in_flight: u32,
    recent_requests: f32,
    decayed_at: Instant,
}

impl TargetLoad {
    /// Counts a flow that was placed on the target or moved to it.
    pub fn flow_opened(&mut self) {
        self.open += 1;
    }

    /// Counts a flow that has ended or moved to another target.
    pub fn flow_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts a request that was sent.
    pub fn request_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.recent_requests = self.recent_requests(now) + 1.0;
        self.decayed_at = now;
    }

    /// Counts a request that was answered or has expired.
    pub fn request_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the exponentially decayed number of requests of about the last
    /// second.
    pub fn recent_requests(&self, now: Instant) -> f32 {
        let age = now.since(self.decayed_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.recent_requests * (-age).exp() as f32
    }
}
