//! A small set of availability zones.

use crate::catalog::ZoneId;

/// Availability zones as bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneSet(u64);

impl ZoneSet {
    /// The number of zones that fit; zones beyond are never in a set.
    pub const MOST: usize = 64;

    /// Adds a zone.
    pub const fn insert(&mut self, zone: ZoneId) {
        if (zone.0 as usize) < Self::MOST {
            self.0 |= 1 << zone.0;
        }
    }

    /// Returns whether a zone is in the set.
    pub const fn contains(self, zone: ZoneId) -> bool {
        (zone.0 as usize) < Self::MOST && self.0 & (1 << zone.0) != 0
    }
}
