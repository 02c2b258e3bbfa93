//! Events of the simulation.

use std::{cmp::Ordering, sync::Arc};

use cicadaweir_core::{
    catalog::ReleaseNote, load::ProbeResult, membership::ListEntry, message::Message, prelude::*,
    route::RelayHeader,
};

use super::Fault;

/// A packet between a caller and a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The caller's index.
    pub caller: u32,
    /// The parsed headers.
    pub info: PacketInfo,
    /// The identity of the request that it carries or answers, 0 for none.
    pub identity: u64,
    /// For packets to the caller: 1 for a reset that refuses an opening,
    /// otherwise 0. Within a node, the answering target's index is in the
    /// upper 16 bits.
    pub number: u32,
}

/// One event of the simulation.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A node's timer tick.
    Tick {
        /// The node's index.
        node: usize,
        /// The node's start count when the tick was scheduled; ticks of an
        /// earlier start are ignored.
        start_count: u32,
    },
    /// A caller's packet reaches a node.
    ToNode {
        /// The node's index.
        node: usize,
        /// The packet.
        packet: Packet,
        /// The relay header, if another node relayed the packet.
        header: Option<RelayHeader>,
    },
    /// A target's packet reaches a node.
    Answer {
        /// The node's index.
        node: usize,
        /// The packet.
        packet: Packet,
        /// The target's index.
        target: usize,
    },
    /// A caller's packet reaches a target.
    ToTarget {
        /// The target's index.
        target: usize,
        /// The packet.
        packet: Packet,
    },
    /// A packet reaches its caller.
    ToCaller {
        /// The packet.
        packet: Packet,
        /// The index of the target that sent it; `None` if a node sent it.
        target: Option<usize>,
    },
    /// A message from another node reaches a node.
    Message {
        /// The node's index.
        node: usize,
        /// The sender.
        from: MemberId,
        /// The message.
        message: Box<Message>,
    },
    /// A target's retransmission timer for an unacknowledged opening answer
    /// expires.
    RetransmitOpeningAnswer {
        /// The target's index.
        target: usize,
        /// The opening.
        packet: Packet,
        /// Answers sent so far.
        attempts: u32,
    },
    /// A target completes a request.
    Completed {
        /// The target's index.
        target: usize,
        /// The request's packet.
        packet: Packet,
    },
    /// The result of a target probe reaches a node.
    Probed {
        /// The node's index.
        node: usize,
        /// The target.
        target: TargetKey,
        /// The result.
        result: ProbeResult,
    },
    /// A node reads a release note from the store.
    Note {
        /// The node's index.
        node: usize,
        /// The note.
        note: Arc<ReleaseNote>,
    },
    /// A node reads the membership list.
    List {
        /// The node's index.
        node: usize,
        /// The list.
        list: Vec<ListEntry>,
    },
    /// A caller arrives, or its timer expires.
    Caller {
        /// The caller's index.
        caller: u32,
    },
    /// A fault or planned change takes effect.
    Fault(Fault),
}

/// An event with its time. The earliest event compares as the greatest, so
/// that a max-heap returns it first; events at the same time keep the order in
/// which they were scheduled.
#[derive(Debug, Clone)]
pub(super) struct Scheduled {
    pub at: Instant,
    pub sequence: u64,
    pub event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
