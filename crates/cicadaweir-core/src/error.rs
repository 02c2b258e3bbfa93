//! All kinds of errors and how each is handled.

use std::fmt;

/// The kind of an error in an input or a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum ErrorKind {
    /// A packet ends within its headers.
    PacketTruncated,
    /// A packet is longer than the receive buffer.
    PacketOversized,
    /// A packet is an IP fragment.
    PacketFragment,
    /// The tunnel header has an unknown version or inner protocol.
    TunnelVersion,
    /// The inner packet carries neither TCP nor UDP.
    TransportUnsupported,
    /// No service has the destination address of a packet.
    AddressUnknown,
    /// A response comes from an endpoint that is not a target of the flow's
    /// service.
    UnexpectedSource,
    /// A peer datagram comes from an address that belongs to no known member.
    PeerUnknown,
    /// A peer message or relay header has an unsupported protocol version.
    PeerVersion,
    /// A peer message or relay header cannot be decoded.
    PeerMalformed,
    /// A packet has reached the maximum number of hops between entry VMs.
    RelayHops,
    /// A packet waited too long for the peers' answers to a lookup, or a unit of work
    /// was submitted after its deadline.
    LookupTimeout,
    /// An entry VM that may have forwarded a datagram of the flow cannot be queried.
    ForwarderUnreachable,
    /// The state of this entry VM is stale or incomplete, so it must not choose a
    /// target.
    StateStale,
    /// The service has no target that accepts new flows.
    NoTarget,
    /// The targets' capacity is exhausted, and no packet of the flow can have
    /// been delivered.
    Overloaded,
    /// The target's capacity is exhausted for the moment; the caller's
    /// retransmission is the retry.
    Deferred,
    /// The flow table is full.
    TableFull,
    /// A limit on queued packets, pending lookups or the bandwidth for lookups is
    /// reached.
    QueueFull,
    /// A release note cannot be parsed or is invalid for the catalog.
    NoteInvalid,
    /// A release note is based on a revision that is not the newest.
    NoteConflict,
    /// A value in the store cannot be decoded.
    StoreMalformed,
    /// The store did not respond.
    StoreUnavailable,
    /// A setting is missing or has an invalid value.
    SettingInvalid,
}

/// How the input that caused an error is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Disposition {
    /// The packet is dropped silently; the caller retransmits it.
    Discard,
    /// The flow is refused: a RST to the caller for TCP, nothing for UDP.
    Refuse,
    /// The input is ignored; the state is unchanged.
    Ignore,
    /// The operation is retried later.
    Retry,
    /// The program exits with this code.
    Exit(u8),
}

impl ErrorKind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 24] = [
        Self::PacketTruncated,
        Self::PacketOversized,
        Self::PacketFragment,
        Self::TunnelVersion,
        Self::TransportUnsupported,
        Self::AddressUnknown,
        Self::UnexpectedSource,
        Self::PeerUnknown,
        Self::PeerVersion,
        Self::PeerMalformed,
        Self::RelayHops,
        Self::LookupTimeout,
        Self::ForwarderUnreachable,
        Self::StateStale,
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

    /// Returns how errors of this kind are handled.
    pub const fn disposition(self) -> Disposition {
        match self {
            Self::PacketTruncated
            | Self::PacketOversized
            | Self::PacketFragment
            | Self::TunnelVersion
            | Self::TransportUnsupported
            | Self::AddressUnknown
            | Self::UnexpectedSource
            | Self::RelayHops
            | Self::LookupTimeout
            | Self::ForwarderUnreachable
            | Self::StateStale
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

    /// Returns the name of the kind in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::PacketTruncated => "packet_truncated",
            Self::PacketOversized => "packet_oversized",
            Self::PacketFragment => "packet_fragment",
            Self::TunnelVersion => "tunnel_version",
            Self::TransportUnsupported => "transport_unsupported",
            Self::AddressUnknown => "address_unknown",
            Self::UnexpectedSource => "answer_from_stranger",
            Self::PeerUnknown => "peer_unknown",
            Self::PeerVersion => "peer_version",
            Self::PeerMalformed => "peer_malformed",
            Self::RelayHops => "relay_hops",
            Self::LookupTimeout => "lookup_timeout",
            Self::ForwarderUnreachable => "witness_missing",
            Self::StateStale => "behind",
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
