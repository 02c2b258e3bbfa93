//! The closed list of error kinds and what is done about each.

use std::fmt;

/// Everything that can be wrong with an input or a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum ErrorKind {
    /// A packet ends before its headers do.
    PacketTruncated,
    /// A packet is longer than the receive buffer.
    PacketOversized,
    /// A packet is a fragment.
    PacketFragment,
    /// The tunnel header has an unknown version or inner protocol.
    TunnelVersion,
    /// The inner packet carries neither TCP nor UDP.
    TransportUnsupported,
    /// No service has the destination address.
    AddressUnknown,
    /// An answer comes from an endpoint that is no target of its service.
    AnswerFromStranger,
    /// A peer datagram comes from an address outside the view.
    PeerUnknown,
    /// A peer speaks another version.
    PeerVersion,
    /// A peer message or relay header does not decode.
    PeerMalformed,
    /// A relayed packet has used up its hops.
    RelayHops,
    /// A packet waited too long, or too many wait, for an answer of a peer.
    LookupTimeout,
    /// An entry VM that may have delivered a datagram of the flow can't be
    /// asked.
    WitnessMissing,
    /// This entry VM is behind and may not choose a target.
    Behind,
    /// The service has no target that takes new work.
    NoTarget,
    /// The targets' capacity is used up, and nothing of the flow can have
    /// been delivered.
    Overloaded,
    /// The target's capacity is used up for the moment; the caller's own
    /// repetition tries again.
    Deferred,
    /// The flow table is full.
    TableFull,
    /// The memory for packets that wait is used up.
    QueueFull,
    /// A release note does not parse or does not fit what it builds on.
    NoteInvalid,
    /// A release note builds on a revision that is no longer the newest.
    NoteConflict,
    /// A value in the store does not decode.
    StoreMalformed,
    /// The store did not answer.
    StoreUnavailable,
    /// A setting is missing or has a value that is not allowed.
    SettingInvalid,
}

/// What is done with the input that caused an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Disposition {
    /// The packet is discarded without a word; a caller sends it again.
    Discard,
    /// The caller is refused: a reset for TCP, nothing for UDP.
    Refuse,
    /// The input is ignored, the state from before stays.
    Ignore,
    /// The operation is tried again later.
    Retry,
    /// The program ends with this exit code.
    Exit(u8),
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 24] = [
        Self::PacketTruncated,
        Self::PacketOversized,
        Self::PacketFragment,
        Self::TunnelVersion,
        Self::TransportUnsupported,
        Self::AddressUnknown,
        Self::AnswerFromStranger,
        Self::PeerUnknown,
        Self::PeerVersion,
        Self::PeerMalformed,
        Self::RelayHops,
        Self::LookupTimeout,
        Self::WitnessMissing,
        Self::Behind,
        Self::NoTarget,
        Self::Overloaded,
        Self::Deferred,
        Self::TableFull,
        Self::QueueFull,
        Self::NoteInvalid,
        Self::NoteConflict,
        Self::StoreMalformed,
        Self::StoreUnavailable,
        Self::SettingInvalid,
    ];

    /// Returns what is done about this kind of error.
    pub const fn disposition(self) -> Disposition {
        match self {
            Self::PacketTruncated
            | Self::PacketOversized
            | Self::PacketFragment
            | Self::TunnelVersion
            | Self::TransportUnsupported
            | Self::AddressUnknown
            | Self::AnswerFromStranger
            | Self::RelayHops
            | Self::LookupTimeout
            | Self::WitnessMissing
            | Self::Behind
            | Self::Deferred
            | Self::QueueFull => Disposition::Discard,
            Self::NoTarget | Self::Overloaded | Self::TableFull => Disposition::Refuse,
            Self::PeerUnknown | Self::PeerVersion | Self::PeerMalformed | Self::StoreMalformed => {
                Disposition::Ignore
            }
            Self::StoreUnavailable => Disposition::Retry,
            Self::SettingInvalid => Disposition::Exit(2),
            Self::NoteInvalid => Disposition::Exit(3),
            Self::NoteConflict => Disposition::Exit(4),
        }
    }

    /// Returns the name under which this kind is logged and counted.
    pub const fn name(self) -> &'static str {
        match self {
            Self::PacketTruncated => "packet_truncated",
            Self::PacketOversized => "packet_oversized",
            Self::PacketFragment => "packet_fragment",
            Self::TunnelVersion => "tunnel_version",
            Self::TransportUnsupported => "transport_unsupported",
            Self::AddressUnknown => "address_unknown",
            Self::AnswerFromStranger => "answer_from_stranger",
            Self::PeerUnknown => "peer_unknown",
            Self::PeerVersion => "peer_version",
            Self::PeerMalformed => "peer_malformed",
            Self::RelayHops => "relay_hops",
            Self::LookupTimeout => "lookup_timeout",
            Self::WitnessMissing => "witness_missing",
            Self::Behind => "behind",
            Self::NoTarget => "no_target",
            Self::Overloaded => "overloaded",
            Self::Deferred => "deferred",
            Self::TableFull => "table_full",
            Self::QueueFull => "queue_full",
            Self::NoteInvalid => "note_invalid",
            Self::NoteConflict => "note_conflict",
            Self::StoreMalformed => "store_malformed",
            Self::StoreUnavailable => "store_unavailable",
            Self::SettingInvalid => "setting_invalid",
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
