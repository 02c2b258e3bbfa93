//! The policies that the experiment compares.

/// How a new flow's target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Policy {
    /// Generations, owners and marks; what the product does.
    #[default]
    Owned,
    /// The newest generation's table alone; no owner, no memory of others.
    RendezvousAlone,
    /// The flow's hash modulo the number of targets; no memory of others.
    Modulo,
    /// The target that reported the least load; local memory only.
    LeastReported,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Owned,
        Self::RendezvousAlone,
        Self::Modulo,
        Self::LeastReported,
    ];

    /// Returns the policy's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Owned => "owned",
            Self::RendezvousAlone => "rendezvous",
            Self::Modulo => "modulo",
            Self::LeastReported => "least_reported",
        }
    }
}
