//! The header of packets relayed between entry VMs.

use crate::{catalog::Revision, membership::MemberId};

/// The header of a relayed packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RelayHeader {
    /// The entry VM that relays the packet.
    pub from: MemberId,
    /// The digest of the sender's membership view.
    pub view: u64,
    /// The newest revision known to the sender.
    pub known: Revision,
    /// The number of hops so far, including this one.
    pub hops: u8,
}
