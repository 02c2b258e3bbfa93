//! The items of the queues.

use crate::packet::PacketRef;

/// A queued packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item {
    /// The keyed hash of the flow.
    pub flow: u64,
    /// The handle of the packet.
    pub packet: PacketRef,
    /// The length of the packet in bytes.
    pub bytes: u32,
}
