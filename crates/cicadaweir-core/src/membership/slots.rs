//! The owners of buckets.
//!
//! The buckets of all services map to a fixed number of slots, and each slot is
//! owned by the member with the highest rendezvous score. Updates are
//! incremental: a member that joins costs one score per slot, and after one
//! leaves only the slots that it owned are reassigned.

use std::{fmt, sync::Arc};

use indexmap::IndexSet;

use crate::hash;

use super::MemberId;

/// The number of slots to which buckets map.
pub const SLOTS: usize = 4096;

/// Returns the slot of a service's bucket.
pub const fn slot_of(service_seed: u64, bucket: u16) -> u16 {
    (hash::mix(service_seed, bucket as u64 | 1 << 32) as usize % SLOTS) as u16
}

/// The owner of each slot for one set of members.
#[derive(Clone)]
pub struct SlotTable {
    members: IndexSet<MemberId>,
    owners: Arc<Vec<Option<(u64, MemberId)>>>,
}

impl Default for SlotTable {
    fn default() -> Self {
        Self {
            members: IndexSet::new(),
            owners: Arc::new(vec![None; SLOTS]),
        }
    }
}

impl fmt::Debug for SlotTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(&self.members).finish()
    }
}

impl SlotTable {
    /// Returns the owner of a slot; `None` if there are no members.
    pub fn owner(&self, slot: u16) -> Option<MemberId> {
        self.owners[usize::from(slot)].map(|o| o.1)
    }

    /// Returns the number of members.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Replaces the set of members; returns whether it changed.
    pub fn update(&mut self, members: impl IntoIterator<Item = MemberId>) -> bool {
        let desired: IndexSet<MemberId> = members.into_iter().collect();
        let removed: Vec<MemberId> = self.members.difference(&desired).copied().collect();
        let added: Vec<MemberId> = desired.difference(&self.members).copied().collect();
        for &id in &removed {
            self.members.swap_remove(&id);
        }
        if !removed.is_empty() {
            self.reassign(&removed);
        }
        for &id in &added {
            self.insert(id);
        }
        !removed.is_empty() || !added.is_empty()
    }

    fn insert(&mut self, id: MemberId) {
        self.members.insert(id);
        for (slot, owner) in Arc::make_mut(&mut self.owners).iter_mut().enumerate() {
            let candidate = Some((score(slot, id), id));
            if candidate > *owner {
                *owner = candidate;
            }
        }
    }

    fn reassign(&mut self, removed: &[MemberId]) {
        let members = &self.members;
        for (slot, owner) in Arc::make_mut(&mut self.owners).iter_mut().enumerate() {
            if owner.is_some_and(|o| removed.contains(&o.1)) {
                *owner = members.iter().map(|&id| (score(slot, id), id)).max();
            }
        }
    }
}

/// Returns the rendezvous score of a member for a slot.
fn score(slot: usize, id: MemberId) -> u64 {
    hash::mix(hash::mix(0x510f, slot as u64), u64::from(id.0))
}
