//! What steering needs to know of one packet.

use crate::{flow::FlowKey, packet::PacketKind};

use super::Cookie;

/// One packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub flow: FlowKey,
    /// What the header says.
    pub kind: PacketKind,
    /// The caller's sequence number.
    pub sequence: u32,
    /// The last sequence number that the caller acknowledges; 0 in openings.
    pub ack: u32,
    /// How often the caller has sent this opening before; 0 otherwise.
    pub copy: u32,
    /// The target that the packet names.
    pub cookie: Cookie,
}
