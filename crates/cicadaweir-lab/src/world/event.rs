//! What happens in a world.

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
    /// What its headers say.
    pub info: PacketInfo,
    /// The request that it carries or answers, 0 for none.
    pub identity: u64,
    /// The number of the answer packet.
    pub number: u32,
}

/// One event of a world.
#[derive(Debug, Clone)]
pub enum Happening {
    /// A node's tick.
    Tick {
        /// The node's index.
        node: usize,
        /// The node's life, so that ticks of an earlier one are void.
        life: u32,
    },
    /// A caller's packet reaches a node.
    ToNode {
        /// The node's index.
        node: usize,
        /// The packet.
        packet: Packet,
        /// The relaying node's words, if it was relayed.
        header: Option<RelayHeader>,
    },
    /// An answer reaches a node.
    Answer {
        /// The node's index.
        node: usize,
        /// The packet.
        packet: Packet,
        /// The target's index.
        target: usize,
    },
    /// A packet reaches a target.
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
        /// The target that answered, if it was one.
        target: Option<usize>,
    },
    /// A message reaches a node.
    Message {
        /// The node's index.
        node: usize,
        /// The sender.
        from: MemberId,
        /// The message.
        message: Box<Message>,
    },
    /// A target repeats an opening's answer that nobody acknowledged.
    OpenAgain {
        /// The target's index.
        target: usize,
        /// The opening.
        packet: Packet,
        /// Answers sent so far.
        tries: u32,
    },
    /// A target completes a request.
    Completed {
        /// The target's index.
        target: usize,
        /// The request's packet.
        packet: Packet,
    },
    /// A probe's answer reaches a node.
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
    /// A caller arrives, or its next step is due.
    Caller {
        /// The caller's index.
        caller: u32,
    },
    /// A fault begins or ends.
    Fault(Fault),
}

/// A happening with its time; the earliest is the greatest.
#[derive(Debug, Clone)]
pub(super) struct Scheduled {
    pub at: Instant,
    pub order: u64,
    pub what: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
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
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
