//! The load of a target, as the callers' packets show it.

use crate::time::{Duration, Instant};

/// The time constant of the request rate's exponential decay.
const RATE_WINDOW: Duration = Duration::from_millis(1_000);

/// The shortest usual response time in seconds that delays are measured by.
const MIN_USUAL: f32 = 0.02;

/// The upper bound on a target's delay.
const MAX_DELAY: f32 = 8.0;

/// The weight of a response in the mean of a target's latest response times.
const RESPONSE_WEIGHT: f32 = 0.4;

/// The time constant of the decay of a target's delay.
const DELAY_WINDOW: Duration = Duration::from_millis(300);

/// The load of one target that comes through this entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetLoad {
    /// Flows that are opening or open.
    pub open: u32,
    /// Requests without a response so far; a new flow counts as one from its
    /// opening on.
    pub in_flight: u32,
    /// Those of them that are the first of their flow: only these can be refused.
    pub first_in_flight: u32,
    recent_requests: f32,
    decayed_at: Instant,
    /// The mean of the latest response times in seconds.
    response_time: f32,
    responded_at: Instant,
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

    /// Counts the first request of a flow that was placed here, with
    /// [`TargetLoad::request_started`].
    pub fn first_started(&mut self) {
        self.first_in_flight += 1;
    }

    /// Counts the first request of a flow that no longer counts against its service's
    /// limit.
    pub fn first_expired(&mut self) {
        self.first_in_flight = self.first_in_flight.saturating_sub(1);
    }

    /// Counts a request that was answered or has expired; `is_first` is set
    /// if it was the first of its flow.
    pub fn request_ended(&mut self, is_first: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.first_in_flight = self.first_in_flight.saturating_sub(u32::from(is_first));
    }

    /// Records a response.
    pub fn record_response(&mut self, now: Instant, took: Duration) {
        let took = took.as_secs_f64() as f32;
        let age = now.since(self.responded_at).as_secs_f64() / DELAY_WINDOW.as_secs_f64();
        let known = self.response_time * (-age).exp() as f32;
        self.response_time = if self.response_time == 0.0 {
            took
        } else {
            known + (took - known) * RESPONSE_WEIGHT
        };
        self.responded_at = now;
    }

    /// Returns how many times longer than `usual` seconds its latest responses took,
    /// beyond once; it decays within [`DELAY_WINDOW`].
    pub fn delay(&self, now: Instant, usual: f32) -> f32 {
        let age = now.since(self.responded_at).as_secs_f64() / DELAY_WINDOW.as_secs_f64();
        let excess = self.response_time / usual.max(MIN_USUAL) - 1.0;
        excess.clamp(0.0, MAX_DELAY) * (-age).exp() as f32
    }

    /// Returns the exponentially decayed number of requests of about the last
    /// second.
    pub fn recent_requests(&self, now: Instant) -> f32 {
        let age = now.since(self.decayed_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.recent_requests * (-age).exp() as f32
    }
}
