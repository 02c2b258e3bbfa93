//! What an entry VM says with a packet that it relays.

use crate::{catalog::Revision, membership::MemberId};

/// The header of a relayed packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RelayHeader {
    /// The entry VM that relays.
    pub from: MemberId,
    /// The digest of its view.
    pub view: u64,
    /// The newest revision that it knows.
    pub known: Revision,
    /// Hops taken so far, this one included.
    pub hops: u8,
}
