//! Who probes which target.

use indexmap::IndexMap;

use crate::{
    hash,
    membership::{MemberId, SLOTS, SlotTable, View},
    prelude::*,
};

/// The members that share the probing, by zone.
#[derive(Debug, Clone, Default)]
pub(super) struct Probers {
    zones: IndexMap<ZoneId, SlotTable>,
    all: SlotTable,
    /// The targets that this member probes.
    pub mine: Vec<TargetKey>,
    /// The number of targets when `mine` was computed.
    pub targets: usize,
}

impl Probers {
    /// Brings the tables up to date; returns whether any changed.
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

    /// Returns whether a zone has a member that shares the probing.
    pub fn sees(&self, zone: ZoneId) -> bool {
        self.zones.get(&zone).is_some_and(|t| t.members() > 0)
    }

    /// Returns the prober of a target.
    pub fn prober(&self, target: TargetKey, zone: ZoneId) -> Option<MemberId> {
        let slot = (hash::mix(u64::from(target.0), 1 << 40) as usize % SLOTS) as u16;
        let local = self.zones.get(&zone).and_then(|t| t.owner(slot));
        local.or_else(|| self.all.owner(slot))
    }
}
