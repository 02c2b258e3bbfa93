//! Assignment of targets to the members that probe them.

use indexmap::IndexMap;

use crate::{
    hash,
    membership::{MemberId, SLOTS, SlotTable, View},
    prelude::*,
};

/// The probing members, by zone.
#[derive(Debug, Clone, Default)]
pub(super) struct Probers {
    zones: IndexMap<ZoneId, SlotTable>,
    /// All members, for targets in zones without any.
    all: SlotTable,
    /// The targets that this member probes.
    pub assigned: Vec<TargetKey>,
    /// The number of targets when `assigned` was computed.
    pub target_count: usize,
}

impl Probers {
    /// Updates the tables from the view; returns whether any changed.
    pub fn update(&mut self, view: &View) -> bool {
        let mut zones: IndexMap<ZoneId, Vec<MemberId>> = IndexMap::new();
        let mut all = Vec::new();
        for member in view.iter().filter(|m| m.owns_buckets()) {
            let id = member.record.id;
            zones.entry(member.record.zone).or_default().push(id);
            all.push(id);
        }
        let mut changed = false;
        for (&zone, table) in &mut self.zones {
            if !zones.contains_key(&zone) {
                changed |= table.update([]);
            }
        }
        for (zone, members) in zones {
            changed |= self.zones.entry(zone).or_default().update(members);
        }
        changed | self.all.update(all)
    }

    /// Returns whether a zone has a member that probes.
    pub fn has_members(&self, zone: ZoneId) -> bool {
        self.zones.get(&zone).is_some_and(|t| t.member_count() > 0)
    }

    /// Returns the member that probes a target, from the target's zone if it
    /// has any.
    pub fn prober(&self, target: TargetKey, zone: ZoneId) -> Option<MemberId> {
        let slot = (hash::mix(u64::from(target.0), 1 << 40) as usize % SLOTS) as u16;
        let local = self.zones.get(&zone).and_then(|t| t.owner(slot));
        local.or_else(|| self.all.owner(slot))
    }
}
