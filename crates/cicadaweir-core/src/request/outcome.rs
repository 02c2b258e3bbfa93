//! The outcomes of submitted units.

use crate::{catalog::TargetKey, error::ErrorKind};

use super::UnitId;

/// The immediate outcome of submitting a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The unit was started on a target.
    Started(TargetKey),
    /// The unit is queued until a slot is free.
    Queued,
    /// The unit is a duplicate of one that was started on a target before; it is
    /// ignored.
    Duplicate(TargetKey),
    /// The unit is refused and was not started on any target.
    Refused(ErrorKind),
}

/// A later change of the state of a submitted unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitUpdate {
    /// The queued unit was started on a target.
    Started(UnitId, TargetKey),
    /// The unit is refused and was not started on any target.
    Refused(UnitId, ErrorKind),
    /// The unit was cancelled while running on a target.
    Cancelled(UnitId, TargetKey),
    /// The unit's target failed. As it is unknown whether the unit was executed,
    /// it is neither started again nor refused.
    Unknown(UnitId),
}
