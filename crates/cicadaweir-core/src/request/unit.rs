//! Units of work.

use crate::time::Instant;

/// The identifier of a unit: the keyed hash of a flow, or the identifier in a
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId(pub u64);

/// The expected amount of work of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SizeClass {
    /// Little work, such as a refresh or a booking.
    Short,
    /// Much work, such as a download.
    Long,
}

/// A unit of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unit {
    /// The identifier, by which duplicates are detected.
    pub id: UnitId,
    /// Whether the unit may be executed more than once.
    pub idempotent: bool,
    /// The time at which the unit expires if it has not been started.
    pub deadline: Instant,
    /// The expected amount of work.
    pub size: SizeClass,
}
