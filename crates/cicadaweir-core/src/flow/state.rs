//! The states of a flow as a packet forwarder can see them.

use crate::packet::{Direction, PacketKind};

/// How far a flow has come; decides how long its entry is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum FlowState {
    /// The caller's opening was seen, nothing else.
    Opening,
    /// Packets of an open flow were seen.
    Established,
    /// One side has closed.
    HalfClosed,
    /// Both sides have closed, or one has reset.
    Closed,
    /// A UDP exchange.
    Datagram,
}

impl FlowState {
    /// Returns the state that a flow has after its first seen packet.
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

    /// Returns the state after one more packet; `closed_from` holds the side
    /// that has closed already, if the state is half closed.
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
