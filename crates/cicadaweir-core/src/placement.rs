//! From a bucket of flows to a target.
//!
//! A service's flows fall into [`BUCKETS`] buckets by keyed hash. A
//! [`Generation`] names the target of each bucket; it is a pure function of
//! the service's name and its targets, so that all entry VMs that know a
//! release note agree without a message.

mod build;
mod generation;

pub use build::{Options, build};
pub use generation::Generation;

/// The number of buckets of a service, a power of two.
pub const BUCKETS: usize = 1024;

/// The most targets of one service: 16 buckets stay for each.
pub const MAX_TARGETS: usize = BUCKETS / 16;

/// Returns the bucket of a flow, by the flow's keyed hash.
pub const fn bucket(flow_hash: u64) -> u16 {
    (flow_hash >> 48) as u16 % BUCKETS as u16
}
