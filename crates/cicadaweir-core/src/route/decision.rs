//! The outcome for one packet, with the reason.

use crate::{catalog::TargetKey, error::ErrorKind, membership::MemberId};

/// Where one packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// To a target.
    Target(TargetKey, Reason),
    /// To the entry VM that owns the bucket.
    Owner(MemberId),
    /// Nowhere until the other entry VMs have said what they remember.
    Ask,
    /// Nowhere.
    Error(ErrorKind),
}

/// Why a packet goes to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The flow table has the flow.
    Remembered,
    /// The flow is among the exceptions that another entry VM handed over.
    HandedOver,
    /// All live generations agree on the bucket's target.
    Unambiguous,
    /// The owner placed a new flow on the target in force.
    Placed,
    /// The owner placed a new flow elsewhere, because of the target's mark.
    Deviated,
    /// The owner has recorded every later flow of the bucket, and this is
    /// none of them.
    Base,
    /// Another entry VM remembers the flow.
    Recalled,
}

impl Reason {
    /// Every reason, in the order of their numbers.
    pub const ALL: [Self; 7] = [
        Self::Remembered,
        Self::HandedOver,
        Self::Unambiguous,
        Self::Placed,
        Self::Deviated,
        Self::Base,
        Self::Recalled,
    ];

    /// Returns the reason's name, as `explain` prints it.
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
