//! The guards that proofs take away one by one, to see that their checks fail.

/// One guard of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guard {
    /// A revision comes into force only when every member knows it.
    AnnounceBeforeUse,
    /// The last owner of a slot decides until a take-over is answered.
    TakeOver,
    /// A datagram is not placed while a member that may have delivered it is
    /// missing.
    Witness,
    /// Resets of targets that are not the flow's own are dropped.
    ResetFilter,
    /// Flows deviate only from targets whose mark is known for a while, and
    /// packets of their buckets go through the owner.
    MarkBeforeDeviating,
    /// An entry VM that was paused chooses nothing until it has heard another.
    Behind,
}

impl Guard {
    /// Every guard.
    pub const ALL: [Self; 6] = [
        Self::AnnounceBeforeUse,
        Self::TakeOver,
        Self::Witness,
        Self::ResetFilter,
        Self::MarkBeforeDeviating,
        Self::Behind,
    ];
}
