//! Load reports and probe results of targets.

use crate::catalog::TargetKey;

/// The load report returned by a target's probe endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Report {
    /// The number of open connections.
    pub open: u32,
    /// The number of requests that are processed or queued.
    pub pending: u32,
    /// The number of requests completed since the target started.
    pub completed: u64,
    /// Whether the target requests to get no new flows.
    pub draining: bool,
}

/// The result of a probe of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// The target answered with its load report.
    Healthy(Report),
    /// The target answered that it is unhealthy.
    Unhealthy,
    /// The target did not answer before the timeout.
    Silent,
}

/// A change of a target's load, as exchanged between members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LoadUpdate {
    /// The target that reported the load.
    pub target: TargetKey,
    /// The version, which grows with every published report of the target.
    pub version: u32,
    /// The number of open connections.
    pub open: u32,
    /// The number of requests that are processed or queued.
    pub pending: u32,
    /// The average number of requests completed per second.
    pub rate: u32,
}
