//! What becomes of a unit.

use crate::{catalog::TargetKey, error::ErrorKind};

use super::UnitId;

/// What a dispatcher says at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It runs on a target.
    Started(TargetKey),
    /// It waits for a slot.
    Queued,
    /// It was given to a target before; nothing is done.
    Repeated(TargetKey),
    /// It is refused and was not given to any target.
    Refused(ErrorKind),
}

/// What a dispatcher says later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It left the queue and runs on a target.
    Started(UnitId, TargetKey),
    /// It is refused and was not given to any target.
    Refused(UnitId, ErrorKind),
    /// It is cancelled at its target.
    Cancelled(UnitId, TargetKey),
    /// Its target is lost: whether it ran is not known, so that it is neither
    /// run again nor refused.
    Unknown(UnitId),
}
