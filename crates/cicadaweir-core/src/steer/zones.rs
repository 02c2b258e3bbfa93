//! Small sets of availability zones, and penalties for each.

use crate::catalog::ZoneId;

/// A set of availability zones as a bitmask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneSet(u64);

impl ZoneSet {
    /// The number of zones that fit; zones with a higher index are never in a
    /// set.
    pub const CAPACITY: usize = 64;

    /// Adds a zone.
    pub const fn insert(&mut self, zone: ZoneId) {
        if (zone.0 as usize) < Self::CAPACITY {
            self.0 |= 1 << zone.0;
        }
    }

    /// Returns whether a zone is in the set.
    pub const fn contains(self, zone: ZoneId) -> bool {
        (zone.0 as usize) < Self::CAPACITY && self.0 & (1 << zone.0) != 0
    }
}

/// The penalty that each availability zone adds to the load of its targets, in
/// requests in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZonePenalties([f32; ZoneSet::CAPACITY]);

impl Default for ZonePenalties {
    fn default() -> Self {
        Self([0.0; ZoneSet::CAPACITY])
    }
}

impl ZonePenalties {
    /// Sets the penalty of a zone; zones beyond [`ZoneSet::CAPACITY`] have none.
    pub fn set(&mut self, zone: ZoneId, penalty: f32) {
        if let Some(entry) = self.0.get_mut(usize::from(zone.0)) {
            *entry = penalty;
        }
    }

    /// Returns the penalty of a zone.
    pub fn get(&self, zone: ZoneId) -> f32 {
        self.0.get(usize::from(zone.0)).copied().unwrap_or_default()
    }
}
