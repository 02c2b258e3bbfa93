//! Where one packet goes.

mod bucket_route;
mod decision;
mod header;
mod policy;

pub use bucket_route::BucketRoute;
pub use decision::{Decision, Reason};
pub use header::RelayHeader;
pub use policy::Policy;

/// The most hops that a packet takes between entry VMs.
///
/// To the owner, from a last owner to the new one, and back once while the
/// last owner still decides.
pub const MAX_HOPS: u8 = 3;
