//! Marks: the states of targets that determine their share of new flows.

use crate::catalog::TargetKey;

/// The state of a target that determines its share of new flows.
///
/// With any mark except [`Mark::Normal`], flows of the target's buckets may be on
/// other targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[repr(u8)]
pub enum Mark {
    /// Gets its full share of new flows and always has.
    #[default]
    Normal,
    /// Gets its full share again; flows of its buckets that were placed on other
    /// targets in the meantime may still be open.
    Settled,
    /// Gets a growing fraction of its share, as after a cold start.
    Ramping,
    /// Close to its limits: gets a new flow only if the alternative targets are
    /// not less loaded.
    Hot,
    /// Gets no new flows.
    Down,
}

/// A change of a target's mark, as exchanged between members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MarkUpdate {
    /// The marked target.
    pub target: TargetKey,
    /// The version, which grows with every change of the target's mark.
    pub version: u32,
    /// The new mark.
    pub mark: Mark,
    /// Whether the prober is in another zone than the target. Members probe a
    /// target of another zone only while they cannot reach any member of that
    /// zone; the mark applies only to members in the same situation.
    pub remote: bool,
}

impl Mark {
    /// All marks; the index of each is its number.
    pub const ALL: [Self; 5] = [
        Self::Normal,
        Self::Settled,
        Self::Ramping,
        Self::Hot,
        Self::Down,
    ];

    /// Returns the mark with a number, or `None` if there is none.
    pub fn from_number(number: u8) -> Option<Self> {
        Self::ALL.get(usize::from(number)).copied()
    }

    /// Returns whether flows of the target's buckets may be on other targets.
    pub const fn deviates(self) -> bool {
        !matches!(self, Self::Normal)
    }
}
