//! What the core needs to know of one packet.

use crate::flow::FlowKey;

/// The driver's handle for a packet whose bytes it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PacketRef(pub u32);

/// The way in which a packet travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From a caller to a service.
    ToTarget,
    /// From a target back to the caller.
    ToCaller,
}

/// What the transport header says of a packet.
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

/// One packet as the core sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PacketInfo {
    /// The flow, always named from the caller's side.
    pub flow: FlowKey,
    /// The way in which the packet travels.
    pub direction: Direction,
    /// What the transport header says.
    pub kind: PacketKind,
    /// The TCP sequence number, by which a repeated segment is known; 0 for
    /// UDP.
    pub sequence: u32,
    /// The length of the inner packet in bytes.
    pub bytes: u16,
}
