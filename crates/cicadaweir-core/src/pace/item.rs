//! What is queued.

use crate::packet::PacketRef;

/// One packet of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// The keyed hash of the flow.
    pub flow: u64,
    /// The packet.
    pub packet: PacketRef,
    /// Its length in bytes.
    pub bytes: u32,
}
