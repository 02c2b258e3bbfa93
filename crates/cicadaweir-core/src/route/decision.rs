//! The routing decision for a packet and its reason.

use crate::{catalog::TargetKey, error::ErrorKind, membership::MemberId};

/// The routing decision for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The packet is forwarded to a target.
    Target(TargetKey, Reason),
    /// The packet is relayed to the entry VM that owns the bucket.
    Owner(MemberId),
    /// The packet is buffered until the other entry VMs have answered whether
    /// their flow tables contain the flow.
    Ask,
    /// The packet is not forwarded.
    Error(ErrorKind),
}

/// The reason why a packet is forwarded to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The local flow table contains the flow.
    Remembered,
    /// The flow is in the list of exceptions received from other entry VMs when
    /// this one took over the bucket.
    HandedOver,
    /// All live generations assign the bucket to the same target.
    Unambiguous,
    /// The owner placed a new flow on the target of the generation in force.
    Placed,
    /// The owner placed a new flow on another target because of the mark of the
    /// target in force.
    Deviated,
    /// The owner has no record of the flow. As it records every flow placed
    /// since the base generation, the base generation placed this one.
    Base,
    /// The flow table of another entry VM contains the flow.
    Recalled,
}

impl Reason {
    /// All reasons, in order of declaration.
    pub const ALL: [Self; 7] = [
        Self::Remembered,
        Self::HandedOver,
        Self::Unambiguous,
        Self::Placed,
        Self::Deviated,
        Self::Base,
        Self::Recalled,
    ];

    /// Returns the name of the reason, as printed by `explain`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Remembered => "remembered",
            Self::HandedOver => "handed_over",
            Self::Unambiguous => "unambiguous",
            Self::Placed => "placed",
            Self::Deviated => "deviated",
            Self::Base => "base",
            Self::Recalled => "recalled",
        }
    }
}
