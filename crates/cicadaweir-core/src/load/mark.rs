//! Marks on targets.

use crate::catalog::TargetKey;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[repr(u8)]
pub enum Mark {
    /// It takes its share, and always has.
    #[default]
    Normal,
    /// It takes its share again, but flows that were placed elsewhere in the
    /// meantime may still be open.
    Settled,
    /// It takes a growing part of its share, as after a cold start.
    Ramping,
    /// It takes new work only if the alternatives look no better.
    Hot,
    /// It takes no new work.
    Down,
}

/// A mark as members pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MarkUpdate {
    /// The target.
    pub target: TargetKey,
    /// Grows with every change of the target's mark.
    pub version: u32,
    /// The mark.
    pub mark: Mark,
    /// Whether it is the finding of another zone's members, which probe the
    /// target while they see no member of its own zone; it counts only for
    /// those who see none either.
    pub remote: bool,
}

impl Mark {
    /// Every mark, by its number.
    pub const ALL: [Self; 5] = [
        Self::Normal,
        Self::Settled,
        Self::Ramping,
        Self::Hot,
        Self::Down,
    ];

    /// Returns the mark with a number.
    pub fn from_number(number: u8) -> Option<Self> {
        Self::ALL.get(usize::from(number)).copied()
    }

    /// Returns whether flows of the target's buckets may be elsewhere.
    pub const fn deviates(self) -> bool {
        !matches!(self, Self::Normal)
    }
}
