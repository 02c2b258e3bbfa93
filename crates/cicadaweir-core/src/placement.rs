//! Assignment of buckets of flows to targets.
//!
//! A keyed hash assigns each flow of a service to one of [`BUCKETS`] buckets. A
//! [`Generation`] maps each bucket to a target. It is a pure function of the
//! service's name and its targets, so all entry VMs that know a release note
//! compute the same generation without exchanging messages.

mod build;
mod generation;

pub use build::{Options, build};
pub use generation::Generation;

/// The number of buckets of a service; a power of two.
pub const BUCKETS: usize = 1024;

/// The maximum number of targets of a service, which leaves 16 buckets for each
/// on average.
pub const MAX_TARGETS: usize = BUCKETS / 16;

/// Returns the bucket of a flow from the flow's keyed hash.
pub const fn bucket(flow_hash: u64) -> u16 {
    (flow_hash >> 48) as u16 % BUCKETS as u16
}
