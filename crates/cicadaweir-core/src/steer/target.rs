//! The entry of a target in the store.

use crate::{flow::Endpoint, time::Duration};

use super::Identity;

/// Whether a target accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// It accepts new flows.
    Ready,
    /// It accepts no new flows and finishes those that it has.
    Draining,
}

/// A target as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Its name in the store.
    pub name: Box<str>,
    /// Its identity.
    pub identity: Identity,
    /// The name of its service.
    pub service: Box<str>,
    /// Where it receives packets.
    pub address: Endpoint,
    /// The name of its availability zone.
    pub zone: Box<str>,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new flows.
    pub state: TargetState,
    /// The rest of its warm-up, during which it is slower than usual.
    pub warmup_left: Duration,
    /// When it started, in milliseconds since the Unix epoch, if its entry says so.
    pub born: Option<u64>,
}
