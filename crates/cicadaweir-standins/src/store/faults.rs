//! What can be wrong with a store.

use std::time::Duration;

/// Whether a store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Availability {
    /// It does.
    #[default]
    Serving,
    /// It refuses every call with 503.
    Busy,
    /// It takes calls and never answers them.
    Silent,
}

/// What is wrong with a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreFaults {
    /// Whether it answers.
    pub availability: Availability,
    /// How long every answer takes.
    pub delay: Duration,
    /// How many changes stale reads are behind.
    pub stale_by: u64,
}
