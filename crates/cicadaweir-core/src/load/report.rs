//! What targets say of themselves.

use crate::catalog::TargetKey;

/// What a target's load endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Report {
    /// Open connections.
    pub open: u32,
    /// Requests at work and waiting.
    pub pending: u32,
    /// Requests completed since its start.
    pub completed: u64,
    /// Whether it asks for no new work.
    pub draining: bool,
}

/// How a probe of a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// It answered.
    Healthy(Report),
    /// It answered that it is not healthy.
    Unhealthy,
    /// It did not answer in time.
    Silent,
}

/// The load of a target as members pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LoadUpdate {
    /// The target.
    pub target: TargetKey,
    /// Grows with every report of the target.
    pub version: u32,
    /// Open connections.
    pub open: u32,
    /// Requests at work and waiting.
    pub pending: u32,
    /// Requests completed in a second.
    pub rate: u32,
}
