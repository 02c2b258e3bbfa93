//! What a target says of itself.

use crate::{flow::Endpoint, time::Duration};

use super::Identity;

/// Whether a target wants new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// It takes new flows.
    Ready,
    /// It finishes the flows that it has.
    Draining,
}

/// A target as its own entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Its name in the store.
    pub name: Box<str>,
    /// Its identity.
    pub identity: Identity,
    /// The name of its service.
    pub service: Box<str>,
    /// Where it takes packets.
    pub address: Endpoint,
    /// The name of its availability zone.
    pub zone: Box<str>,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it wants new flows.
    pub state: TargetState,
    /// How much longer it stays slow after its start.
    pub warmup_left: Duration,
    /// When it started, in milliseconds since 1970, if it says so.
    pub born: Option<u64>,
}
