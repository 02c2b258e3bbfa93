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
pub const MOST_HOPS: u8 = 2;
