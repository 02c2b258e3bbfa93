//! State of a simulated caller and its flow.

use cicadaweir_core::{flow::FlowKey, time::Duration, time::Instant};
use indexmap::IndexSet;

/// The traffic pattern of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// A TCP flow that stays open and sends requests periodically.
    Board {
        /// The mean interval between two requests.
        request_interval: Duration,
    },
    /// A TCP flow with one request.
    Visit,
    /// One request in one UDP datagram that must not run twice.
    Booking,
}

/// The progress of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerState {
    /// The caller has not arrived yet.
    NotStarted,
    /// The opening was sent and is not answered yet.
    Opening,
    /// The flow is open and has no request in flight.
    Idle,
    /// A request is in flight.
    AwaitingAnswer,
    /// All requests were answered.
    Done,
    /// The opening was answered with a reset.
    Refused,
    /// The opening or datagram got no answer after the last attempt.
    Unanswered,
    /// The open flow was reset or made no progress before the timeout.
    Broken,
}

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The flow.
    pub flow: FlowKey,
    /// The service's index.
    pub service: usize,
    /// The traffic pattern.
    pub kind: CallerKind,
    /// The progress.
    pub state: CallerState,
    /// When the current opening or request was first sent.
    pub step_started_at: Instant,
    /// When the next request is due.
    pub next_request_at: Instant,
    /// Whether the current request was acknowledged.
    pub acknowledged: bool,
    /// Transmissions of the current opening or request.
    pub attempts: u32,
    /// Requests sent so far, without retransmissions.
    pub requests_sent: u32,
    /// The index of the target that accepted the flow.
    pub connected_target: Option<usize>,
    /// Indexes of the targets that received the opening or datagram.
    pub delivered_to: IndexSet<usize>,
    /// When the opening was answered.
    pub opened_at: Option<Instant>,
    /// Whether the caller arrived after the start of the surge.
    pub in_surge: bool,
}

impl Caller {
    /// Returns the identity of the current request of the caller at `index`.
    pub fn identity(&self, index: u32) -> u64 {
        (u64::from(index) + 1) << 24 | u64::from(self.requests_sent)
    }

    /// Returns whether the flow is open.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, CallerState::Idle | CallerState::AwaitingAnswer)
    }

    /// Returns the delay before the next retransmission: 0.5 s, doubled each
    /// time, at most 4 s.
    pub fn retry_delay(&self) -> Duration {
        Duration::from_millis(500u64 << self.attempts.min(4).saturating_sub(1)).min(MAX_RETRY_DELAY)
    }
}

/// The longest delay between two transmissions.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
