//! How much a target has to do, as the callers' packets show it.

use crate::time::{Duration, Instant};

/// The time over which the request rate is averaged.
const RATE_SPAN: Duration = Duration::from_millis(1_000);

/// The work of one target that passes through this entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Flows that are open or opening.
    pub open: u32,
    /// Requests that have been sent and not yet answered.
    pub in_flight: u32,
    recent: f32,
    decayed_at: Instant,
}

impl Work {
    /// Notes that a flow was placed here.
    pub fn flow_opened(&mut self) {
        self.open += 1;
    }

    /// Notes that a flow has ended or moved elsewhere.
    pub fn flow_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Notes that a request was sent.
    pub fn request_started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.recent = self.recent(now) + 1.0;
        self.decayed_at = now;
    }

    /// Notes that a request was answered or given up.
    pub fn request_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the requests of about the last second, later ones counting
    /// for more.
    pub fn recent(&self, now: Instant) -> f32 {
        let age = now.since(self.decayed_at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.recent * (-age).exp() as f32
    }
}
