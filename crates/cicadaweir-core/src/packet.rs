//! The properties of packets that the core uses.

use crate::flow::FlowKey;

/// A handle of a packet, assigned by the driver, which holds the packet's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PacketRef(pub u32);

/// The direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From a caller to a service.
    ToTarget,
    /// From a target to a caller.
    ToCaller,
}

/// The kind of a packet, from its transport header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PacketKind {
    /// A TCP segment with SYN and without ACK.
    Opening,
    /// A TCP segment with SYN and ACK.
    OpeningAnswer,
    /// A TCP segment without SYN, FIN and RST that carries no payload.
    Acknowledgement,
    /// A TCP segment without SYN, FIN and RST that carries payload.
    Data,
    /// A TCP segment with FIN.
    Closing,
    /// A TCP segment with RST.
    Reset,
    /// A UDP datagram.
    Datagram,
}

/// The header fields of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PacketInfo {
    /// The key of the flow; the same in both directions.
    pub flow: FlowKey,
    /// The direction of the packet.
    pub direction: Direction,
    /// The kind of the packet.
    pub kind: PacketKind,
    /// The TCP sequence number, which identifies retransmitted segments; 0 for
    /// UDP.
    pub sequence: u32,
    /// The length of the inner packet in bytes.
    pub bytes: u16,
}
