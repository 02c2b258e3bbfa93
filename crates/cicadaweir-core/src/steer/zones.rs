//! Small sets of availability zones, and distances to them.

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

/// What the way to each availability zone weighs in a target's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Distances([f32; ZoneSet::MOST]);

impl Default for Distances {
    fn default() -> Self {
        Self([0.0; ZoneSet::MOST])
    }
}

impl Distances {
    /// Sets the distance to a zone; zones that don't fit have none.
    pub fn set(&mut self, zone: ZoneId, weight: f32) {
        if let Some(entry) = self.0.get_mut(usize::from(zone.0)) {
            *entry = weight;
        }
    }

    /// Returns the distance to a zone.
    pub fn to(&self, zone: ZoneId) -> f32 {
        self.0.get(usize::from(zone.0)).copied().unwrap_or_default()
    }
}
