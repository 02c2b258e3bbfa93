//! Placement policies: the one in production use and the baselines to which the
//! experiments compare it.

/// The policy by which the target of a new flow is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Policy {
    /// Generations, bucket owners and marks; the policy in production use.
    #[default]
    Owned,
    /// The table of the generation in force only; no bucket owners, no lookups
    /// in the flow tables of other entry VMs.
    RendezvousAlone,
    /// The flow's hash modulo the number of targets; no lookups in the flow
    /// tables of other entry VMs.
    Modulo,
    /// The target with the lowest reported load; no lookups in the flow tables
    /// of other entry VMs.
    LeastReported,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Owned,
        Self::RendezvousAlone,
        Self::Modulo,
        Self::LeastReported,
    ];

    /// Returns the name of the policy.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Owned => "owned",
            Self::RendezvousAlone => "rendezvous",
            Self::Modulo => "modulo",
            Self::LeastReported => "least_reported",
        }
    }
}
