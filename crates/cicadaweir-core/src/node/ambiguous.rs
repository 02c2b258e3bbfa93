//! The slots that contain ambiguous buckets, maintained per service.

use indexmap::IndexMap;

use crate::catalog::ServiceKey;

/// The slots of ambiguous buckets, reference-counted over all services.
#[derive(Debug, Clone, Default)]
pub(super) struct AmbiguousSlots {
    services: IndexMap<ServiceKey, Vec<u16>>,
    /// The number of ambiguous buckets in each slot, over all services.
    counts: IndexMap<u16, u32>,
}

impl AmbiguousSlots {
    /// Replaces the slots of one service. `slots` has one entry for each
    /// ambiguous bucket, so that a slot may occur repeatedly.
    pub fn replace(&mut self, service: ServiceKey, slots: Vec<u16>) {
        for slot in self.services.swap_remove(&service).unwrap_or_default() {
            let count = self.counts.entry(slot).or_default();
            *count -= 1;
            if *count == 0 {
                self.counts.swap_remove(&slot);
            }
        }
        for &slot in &slots {
            *self.counts.entry(slot).or_default() += 1;
        }
        if !slots.is_empty() {
            self.services.insert(service, slots);
        }
    }

    /// Returns whether a slot contains an ambiguous bucket.
    pub fn contains(&self, slot: u16) -> bool {
        self.counts.contains_key(&slot)
    }

    /// Returns whether no bucket is ambiguous.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Iterates over the slots that contain ambiguous buckets.
    pub fn iter(&self) -> impl Iterator<Item = u16> {
        self.counts.keys().copied()
    }
}
