//! A caller and its flow.

use cicadaweir_core::{flow::FlowKey, time::Duration, time::Instant};
use indexmap::IndexSet;

/// What a caller wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// A TCP flow that stays open and asks again and again.
    Board {
        /// The pause between two requests, on average.
        pause: Duration,
    },
    /// A TCP flow with one request.
    Visit,
    /// One request in one UDP datagram that must not run twice.
    Booking,
}

/// How far a caller has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerState {
    /// It has not arrived.
    Away,
    /// Its opening is not answered.
    Opening,
    /// Its flow is open and nothing is asked.
    Quiet,
    /// It waits for the answer to a request.
    Waiting,
    /// It got what it wanted.
    Done,
    /// It was refused, with nothing delivered.
    Refused,
    /// Nothing came back in time.
    Unanswered,
    /// Its open flow was reset or made no progress.
    Broken,
}

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The flow.
    pub flow: FlowKey,
    /// The service's index.
    pub service: usize,
    /// What it wants.
    pub kind: CallerKind,
    /// How far it has come.
    pub state: CallerState,
    /// When the present step began.
    pub since: Instant,
    /// When its next request is due.
    pub due: Instant,
    /// Whether the present request was acknowledged.
    pub acknowledged: bool,
    /// Tries of the present step.
    pub tries: u32,
    /// Requests made so far.
    pub asked: u32,
    /// The target that the flow is connected with.
    pub connected: Option<usize>,
    /// Targets that got its opening, or its datagram.
    pub delivered_to: IndexSet<usize>,
    /// When the flow was opened.
    pub opened: Option<Instant>,
    /// Whether it arrived after the surge had begun.
    pub in_surge: bool,
}

impl Caller {
    /// Returns the identity of the present request.
    pub fn identity(&self, index: u32) -> u64 {
        (u64::from(index) + 1) << 24 | u64::from(self.asked)
    }

    /// Returns whether the flow is open.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, CallerState::Quiet | CallerState::Waiting)
    }

    /// Returns the pause before the next repetition: 0.5 s, doubled each
    /// time, 4 s at most.
    pub fn retry_pause(&self) -> Duration {
        Duration::from_millis(500u64 << self.tries.min(4).saturating_sub(1)).min(LONGEST_PAUSE)
    }
}

/// The longest pause between two repetitions.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
