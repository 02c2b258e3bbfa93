//! What entry VMs say to each other.

use std::sync::Arc;

use crate::{
    catalog::{Part, ReleaseNote, Revision, TargetKey},
    load::{LoadUpdate, MarkUpdate},
    membership::{MemberId, MemberUpdate},
    time::Duration,
};

/// What every probe and every answer to one carries along.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Gossip {
    /// The newest revision that the sender knows.
    pub known: Revision,
    /// The newest revision that is in force at the sender.
    pub agreed: Revision,
    /// The digest of the sender's view.
    pub view: u64,
    /// The sender's own record, and records that are news.
    pub members: Vec<MemberUpdate>,
    /// Marks that are news.
    pub marks: Vec<MarkUpdate>,
    /// Loads of targets that are news.
    pub loads: Vec<LoadUpdate>,
}

/// A flow that is on another target than the base generation's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowException {
    /// The keyed hash of the flow.
    pub flow_hash: u64,
    /// Its target.
    pub target: TargetKey,
}

/// What a member remembers of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowMemory {
    /// The flow's target.
    pub target: TargetKey,
    /// How long ago the target's last packet passed the member.
    pub target_silence: Duration,
    /// Whether the caller's last data passed the member, and no answer since.
    pub unanswered: bool,
}

/// A message between two entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for a sign of life.
    Probe {
        /// The number that the answer repeats.
        sequence: u32,
        /// News.
        gossip: Gossip,
    },
    /// Gives a sign of life, of the sender or of the member it was asked for.
    ProbeAnswer {
        /// The member that is alive.
        member: MemberId,
        /// The number of the probe.
        sequence: u32,
        /// News.
        gossip: Gossip,
    },
    /// Asks to probe another member.
    ProbeFor {
        /// The member to probe.
        member: MemberId,
        /// The number that the answer repeats.
        sequence: u32,
    },
    /// Asks for the members, from a position on.
    MembersWanted {
        /// The first position.
        start: u32,
    },
    /// Lists members, from a position on.
    Members {
        /// The first position.
        start: u32,
        /// The records.
        members: Vec<MemberUpdate>,
        /// Whether more follow.
        more: bool,
    },
    /// Says up the tree which revision a subtree knows.
    Known {
        /// The lowest known revision.
        revision: Revision,
    },
    /// Says down and up the tree which revisions the sender stands at.
    Revisions {
        /// The newest revision that it knows.
        known: Revision,
        /// The newest revision in force at it.
        agreed: Revision,
    },
    /// Brings marks that make buckets ambiguous, along the tree.
    Marks {
        /// The marks.
        marks: Vec<MarkUpdate>,
    },
    /// Asks for the release notes after a revision.
    NotesWanted {
        /// The newest revision that the sender has.
        have: Revision,
    },
    /// Brings release notes in order.
    Notes {
        /// The notes, each with the time since the sender learned of it.
        notes: Vec<(Arc<ReleaseNote>, Duration)>,
        /// The revision in force at the sender.
        agreed: Revision,
    },
    /// Asks for one part of the sender's catalog.
    PartWanted {
        /// The number of the part.
        number: u32,
    },
    /// Brings one part of a catalog.
    Part {
        /// The part.
        part: Box<Part>,
        /// The revision in force at the sender.
        agreed: Revision,
    },
    /// Asks for the exceptions in some slots.
    ExceptionsWanted {
        /// The slots, ascending.
        slots: Vec<u16>,
        /// Whether the sender owns the slots now, so that whoever owned them
        /// before stops deciding for them.
        take_over: bool,
    },
    /// Brings exceptions.
    Exceptions {
        /// The exceptions.
        flows: Vec<FlowException>,
        /// Whether these are the last for the request.
        last: bool,
        /// Whether the request was a take-over.
        take_over: bool,
    },
    /// Asks what is remembered of a flow.
    Lookup {
        /// The keyed hash of the flow.
        flow_hash: u64,
    },
    /// Says that a flow's target went silent, so that whoever gets the
    /// caller's next packet resets the flow.
    Broken {
        /// The keyed hash of the flow.
        flow_hash: u64,
        /// The silent target.
        target: TargetKey,
    },
    /// Tells what is remembered of a flow.
    LookupAnswer {
        /// The keyed hash of the flow.
        flow_hash: u64,
        /// What is remembered, if anything.
        memory: Option<FlowMemory>,
    },
}

/// The kinds of [`Message`], for counting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Probes and their answers.
    Detection,
    /// Lists of members.
    Members,
    /// Reports up the tree.
    Agreement,
    /// Marks along the tree.
    Marks,
    /// Release notes and requests for them.
    Notes,
    /// Exceptions and requests for them.
    HandOver,
    /// Lookups and their answers.
    Lookup,
}

impl MessageKind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Detection,
        Self::Members,
        Self::Agreement,
        Self::Marks,
        Self::Notes,
        Self::HandOver,
        Self::Lookup,
    ];

    /// Returns the name under which the kind is counted.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Detection => "detection",
            Self::Members => "members",
            Self::Agreement => "agreement",
            Self::Marks => "marks",
            Self::Notes => "notes",
            Self::HandOver => "hand_over",
            Self::Lookup => "lookup",
        }
    }
}

impl Message {
    /// Returns the kind under which the message is counted.
    pub const fn kind(&self) -> MessageKind {
        match self {
            Self::Probe { .. } | Self::ProbeAnswer { .. } | Self::ProbeFor { .. } => {
                MessageKind::Detection
            }
            Self::MembersWanted { .. } | Self::Members { .. } => MessageKind::Members,
            Self::Known { .. } | Self::Revisions { .. } => MessageKind::Agreement,
            Self::Marks { .. } => MessageKind::Marks,
            Self::NotesWanted { .. }
            | Self::Notes { .. }
            | Self::PartWanted { .. }
            | Self::Part { .. } => MessageKind::Notes,
            Self::ExceptionsWanted { .. } | Self::Exceptions { .. } => MessageKind::HandOver,
            Self::Lookup { .. } | Self::LookupAnswer { .. } | Self::Broken { .. } => {
                MessageKind::Lookup
            }
        }
    }
}
