//! Faults that tests inject into a store.

use std::time::Duration;

/// Whether and how a store answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Availability {
    /// It answers calls normally.
    #[default]
    Serving,
    /// It answers every call with status 503.
    Busy,
    /// It accepts calls and leaves them unanswered until the fault ends, for ten
    /// seconds at most; then it answers with status 503.
    Silent,
}

/// The active faults of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreFaults {
    /// Whether and how calls are answered.
    pub availability: Availability,
    /// The delay added to every call.
    pub delay: Duration,
    /// The number of revisions by which stale reads lag behind the latest.
    pub stale_by: u64,
}
