//! From a bucket to its owner.
//!
//! Buckets of all services fall into a fixed number of slots, and each slot
//! belongs to the member with the highest rendezvous score. The table is
//! changed by differences: a member that comes or goes costs one score a
//! slot, and only the slots it held are decided anew.

use std::{fmt, sync::Arc};

use indexmap::IndexSet;

use crate::hash;

use super::MemberId;

/// The number of slots.
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
    /// Returns the owner of a slot, if there is any member.
    pub fn owner(&self, slot: u16) -> Option<MemberId> {
        self.owners[usize::from(slot)].map(|o| o.1)
    }

    /// Returns the number of members.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Brings the table to a new set of members; returns whether it changed.
    pub fn update(&mut self, members: impl IntoIterator<Item = MemberId>) -> bool {
        let wanted: IndexSet<MemberId> = members.into_iter().collect();
        let gone: Vec<MemberId> = self.members.difference(&wanted).copied().collect();
        let come: Vec<MemberId> = wanted.difference(&self.members).copied().collect();
        for &id in &gone {
            self.members.swap_remove(&id);
        }
        if !gone.is_empty() {
            self.reassign(&gone);
        }
        for &id in &come {
            self.add(id);
        }
        !gone.is_empty() || !come.is_empty()
    }

    fn add(&mut self, id: MemberId) {
        self.members.insert(id);
        for (slot, owner) in Arc::make_mut(&mut self.owners).iter_mut().enumerate() {
            let candidate = Some((score(slot, id), id));
            if candidate > *owner {
                *owner = candidate;
            }
        }
    }

    fn reassign(&mut self, gone: &[MemberId]) {
        let members = &self.members;
        for (slot, owner) in Arc::make_mut(&mut self.owners).iter_mut().enumerate() {
            if owner.is_some_and(|o| gone.contains(&o.1)) {
                *owner = members.iter().map(|&id| (score(slot, id), id)).max();
            }
        }
    }
}

fn score(slot: usize, id: MemberId) -> u64 {
    hash::mix(hash::mix(0x510f, slot as u64), u64::from(id.0))
}
