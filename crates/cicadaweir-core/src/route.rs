//! Routing decisions for packets.

mod bucket_route;
mod decision;
mod header;
mod policy;

pub use bucket_route::BucketRoute;
pub use decision::{Decision, Reason};
pub use header::RelayHeader;
pub use policy::Policy;

/// The maximum number of times that a packet is relayed between entry VMs.
///
/// A packet needs one hop to the owner, one from a previous owner to the new one
/// and one back while the previous owner still decides.
pub const MAX_HOPS: u8 = 3;
