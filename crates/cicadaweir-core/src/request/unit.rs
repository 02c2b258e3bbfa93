//! One unit of work.

use crate::time::Instant;

/// The identity of a unit; the keyed hash of a flow, or what a request says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId(pub u64);

/// How much work a unit is expected to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SizeClass {
    /// A refresh or a booking.
    Short,
    /// A download.
    Long,
}

/// One unit of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unit {
    /// The identity.
    pub id: UnitId,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// How much work it is expected to be.
    pub size: SizeClass,
}
