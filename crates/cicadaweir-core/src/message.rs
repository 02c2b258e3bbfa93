//! Messages between entry VMs.

use std::sync::Arc;

use crate::{
    catalog::{Part, ReleaseNote, Revision, TargetKey},
    load::{LoadUpdate, MarkUpdate},
    membership::{MemberId, MemberUpdate},
    time::Duration,
};

/// Updates piggybacked on every failure-detector probe and its answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Gossip {
    /// The newest revision known to the sender.
    pub known: Revision,
    /// The newest revision in force at the sender.
    pub agreed: Revision,
    /// The digest of the sender's membership view.
    pub view: u64,
    /// The sender's own member record and recently changed records.
    pub members: Vec<MemberUpdate>,
    /// Recently changed marks.
    pub marks: Vec<MarkUpdate>,
    /// Recently changed loads of targets.
    pub loads: Vec<LoadUpdate>,
}

/// A flow whose target differs from that of its bucket in the base generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowException {
    /// The keyed hash of the flow.
    pub flow_hash: u64,
    /// The flow's target.
    pub target: TargetKey,
}

/// The information about a flow in a member's flow table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowRecord {
    /// The flow's target.
    pub target: TargetKey,
    /// The time since the target's last packet passed the member.
    pub target_silence: Duration,
    /// Whether data from the caller has passed the member, but no packet from the
    /// target since.
    pub unanswered: bool,
}

/// A message between two entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Checks whether the receiver is alive.
    Probe {
        /// The sequence number, repeated in the answer.
        sequence: u32,
        /// Piggybacked updates.
        gossip: Gossip,
    },
    /// Answers a probe, for the sender itself or for the member named in a
    /// [`Message::IndirectProbeRequest`].
    ProbeAnswer {
        /// The member that is alive.
        member: MemberId,
        /// The sequence number of the probe.
        sequence: u32,
        /// Piggybacked updates.
        gossip: Gossip,
    },
    /// Requests an indirect probe: the receiver probes another member.
    IndirectProbeRequest {
        /// The member to probe.
        member: MemberId,
        /// The sequence number, repeated in the answer.
        sequence: u32,
    },
    /// Requests the member list, from a position on.
    MembersRequest {
        /// The position of the first requested member.
        start: u32,
    },
    /// Returns a part of the member list.
    Members {
        /// The position of the first returned member.
        start: u32,
        /// The member records.
        members: Vec<MemberUpdate>,
        /// Whether the list continues after this part.
        more: bool,
    },
    /// Reports to the parent in the agreement tree which revision every member
    /// of the sender's subtree knows.
    Known {
        /// The minimum of the revisions known in the subtree.
        revision: Revision,
    },
    /// Announces the sender's revisions to its neighbours in the agreement tree.
    Revisions {
        /// The newest revision known to the sender.
        known: Revision,
        /// The newest revision in force at the sender.
        agreed: Revision,
    },
    /// Propagates along the agreement tree marks that make buckets ambiguous.
    Marks {
        /// The marks.
        marks: Vec<MarkUpdate>,
    },
    /// Requests the release notes after a revision.
    NotesRequest {
        /// The newest revision that the sender has.
        have: Revision,
    },
    /// Returns release notes, in order of revision.
    Notes {
        /// The notes, each with its age: the time since the first entry VM received
        /// it, or since its publication if a joining entry VM read it from the store.
        notes: Vec<(Arc<ReleaseNote>, Duration)>,
        /// The revision in force at the sender.
        agreed: Revision,
    },
    /// Requests one part of a snapshot of the receiver's catalog.
    PartRequest {
        /// The number of the part.
        number: u32,
    },
    /// Returns one part of a snapshot of the sender's catalog.
    Part {
        /// The part.
        part: Box<Part>,
        /// The revision in force at the sender.
        agreed: Revision,
    },
    /// Requests the exceptions of some slots.
    ExceptionsRequest {
        /// The slots, in ascending order.
        slots: Vec<u16>,
        /// Whether the sender owns the slots now, so that the previous owner
        /// stops deciding for them.
        take_over: bool,
    },
    /// Returns the exceptions of the requested slots, possibly in several
    /// messages.
    Exceptions {
        /// The exceptions.
        flows: Vec<FlowException>,
        /// Whether this is the last message for the request.
        last: bool,
        /// The value of `take_over` in the request.
        take_over: bool,
    },
    /// Requests the information about a flow in the receiver's flow table.
    Lookup {
        /// The keyed hash of the flow.
        flow_hash: u64,
    },
    /// Announces that a flow's target no longer responds, so that the entry VM
    /// that receives the caller's next packet resets the flow.
    TargetUnresponsive {
        /// The keyed hash of the flow.
        flow_hash: u64,
        /// The target that does not respond.
        target: TargetKey,
    },
    /// Returns the information about a flow in the sender's flow table.
    LookupAnswer {
        /// The keyed hash of the flow.
        flow_hash: u64,
        /// The information about the flow, or `None` if the flow is unknown.
        record: Option<FlowRecord>,
    },
}

/// The kinds of [`Message`] in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Failure detection: probes and their answers.
    Detection,
    /// Member lists and requests for them.
    Members,
    /// Revisions along the agreement tree.
    Agreement,
    /// Marks along the agreement tree.
    Marks,
    /// Release notes, parts of snapshots and requests for them.
    Notes,
    /// Ownership transfer: exceptions and requests for them.
    OwnershipTransfer,
    /// Lookups of flows, their answers and announcements of unresponsive
    /// targets.
    Lookup,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Detection,
        Self::Members,
        Self::Agreement,
        Self::Marks,
        Self::Notes,
        Self::OwnershipTransfer,
        Self::Lookup,
    ];

    /// Returns the name of the kind in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Detection => "detection",
            Self::Members => "members",
            Self::Agreement => "agreement",
            Self::Marks => "marks",
            Self::Notes => "notes",
            Self::OwnershipTransfer => "hand_over",
            Self::Lookup => "lookup",
        }
    }
}

impl Message {
    /// Returns the kind under which the message is counted in metrics.
    pub const fn kind(&self) -> MessageKind {
        match self {
            Self::Probe { .. } | Self::ProbeAnswer { .. } | Self::IndirectProbeRequest { .. } => {
                MessageKind::Detection
            }
            Self::MembersRequest { .. } | Self::Members { .. } => MessageKind::Members,
            Self::Known { .. } | Self::Revisions { .. } => MessageKind::Agreement,
            Self::Marks { .. } => MessageKind::Marks,
            Self::NotesRequest { .. }
            | Self::Notes { .. }
            | Self::PartRequest { .. }
            | Self::Part { .. } => MessageKind::Notes,
            Self::ExceptionsRequest { .. } | Self::Exceptions { .. } => {
                MessageKind::OwnershipTransfer
            }
            Self::Lookup { .. } | Self::LookupAnswer { .. } | Self::TargetUnresponsive { .. } => {
                MessageKind::Lookup
            }
        }
    }
}
