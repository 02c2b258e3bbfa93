//! Where one packet goes.

mod decision;
mod header;
mod outlook;
mod policy;

pub use decision::{Decision, Reason};
pub use header::RelayHeader;
pub use outlook::Outlook;
pub use policy::Policy;

/// The most hops that a packet takes between entry VMs.
///
/// To the owner, from a last owner to the new one, and back once while the
/// last owner still decides.
pub const MOST_HOPS: u8 = 3;
