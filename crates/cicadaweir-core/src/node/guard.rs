//! Guards that tests disable one at a time to verify that a check then fails.

/// A rule that prevents wrong or unsafe decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guard {
    /// A revision comes into force only once every member knows it.
    AnnounceBeforeUse,
    /// The previous owner of a slot decides until it has answered the new
    /// owner's take-over request.
    TakeOver,
    /// A datagram of an unknown flow is not placed while a member that may
    /// have forwarded an earlier copy (a witness) cannot be queried.
    Witness,
    /// Resets from a target other than the flow's own are dropped.
    ResetFilter,
    /// Flows deviate from a target only after its mark has had time to reach
    /// all members, and packets of its buckets pass through the owner.
    MarkBeforeDeviating,
    /// An entry VM that was paused places no flows until another member has
    /// answered.
    Behind,
}

impl Guard {
    /// All guards.
    pub const ALL: [Self; 6] = [
        Self::AnnounceBeforeUse,
        Self::TakeOver,
        Self::Witness,
        Self::ResetFilter,
        Self::MarkBeforeDeviating,
        Self::Behind,
    ];
}
