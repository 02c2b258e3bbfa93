//! The headers of a packet that steering reads.

use crate::{flow::FlowKey, packet::PacketKind};

use super::Cookie;

/// One packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub flow: FlowKey,
    /// The kind of packet that the header states.
    pub kind: PacketKind,
    /// The caller's sequence number.
    pub sequence: u32,
    /// The last sequence number that the caller acknowledges; 0 in openings.
    pub ack: u32,
    /// The number of times that the caller has sent this opening before; 0 in
    /// other packets.
    pub copy: u32,
    /// The cookie of the target that the packet names.
    pub cookie: Cookie,
}
