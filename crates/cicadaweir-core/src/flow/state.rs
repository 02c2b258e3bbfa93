//! Flow states, as far as a packet forwarder can observe them.

use crate::packet::{Direction, PacketKind};

/// The state of a flow; determines how long its entry is kept after the last
/// packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum FlowState {
    /// Only the caller's SYN has been seen.
    Opening,
    /// Packets of an open connection have been seen.
    Established,
    /// One side has sent a FIN.
    HalfClosed,
    /// Both sides have sent a FIN, or one has sent a RST.
    Closed,
    /// A UDP flow.
    Datagram,
}

impl FlowState {
    /// Returns the state of a flow after the first packet seen of it.
    pub const fn first(kind: PacketKind) -> Self {
        match kind {
            PacketKind::Opening => Self::Opening,
            PacketKind::Datagram => Self::Datagram,
            PacketKind::Reset => Self::Closed,
            PacketKind::Closing => Self::HalfClosed,
            PacketKind::OpeningAnswer | PacketKind::Acknowledgement | PacketKind::Data => {
                Self::Established
            }
        }
    }

    /// Returns the state after one more packet from direction `from`.
    ///
    /// `closed_from` is the direction from which a FIN has been seen, if any.
    pub fn next(self, kind: PacketKind, from: Direction, closed_from: Option<Direction>) -> Self {
        match (self, kind) {
            (Self::Datagram, _) => Self::Datagram,
            (_, PacketKind::Reset) => Self::Closed,
            (Self::Closed, PacketKind::Opening) => Self::Opening,
            (Self::Closed, _) => Self::Closed,
            (Self::HalfClosed, PacketKind::Closing) if closed_from != Some(from) => Self::Closed,
            (Self::HalfClosed, _) => Self::HalfClosed,
            (_, PacketKind::Closing) => Self::HalfClosed,
            (Self::Opening, PacketKind::Opening) => Self::Opening,
            (state, PacketKind::Opening) => state,
            _ => Self::Established,
        }
    }
}
