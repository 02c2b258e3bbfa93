//! Snapshots: a joining member receives the catalog in parts, from the store or
//! from a peer, instead of replaying all release notes.

use crate::{
    catalog::{Catalog, Part},
    message::Message,
    prelude::*,
};

use super::Node;

impl Node {
    /// Sends one part of this member's catalog, if it exists.
    pub(super) fn send_part(
        &mut self,
        now: Instant,
        to: MemberId,
        number: u32,
        out: &mut Vec<Action>,
    ) {
        let agreed = self.agreement.agreed();
        if let Some(part) = self.catalog.part(number, now) {
            let part = Box::new(part);
            self.send(to, Message::Part { part, agreed }, out);
        }
    }

    /// Collects a part and requests the next one. A part with another revision
    /// or count than the previous parts means that the peer's catalog has
    /// changed, and the collection starts over.
    pub(super) fn collect_part(
        &mut self,
        now: Instant,
        from: MemberId,
        part: Part,
        agreed: Revision,
        out: &mut Vec<Action>,
    ) {
        if self.catalog.revision() > Revision::default() {
            return;
        }
        self.notes_requested_at = Some(now);
        let first = self.snapshot_parts.first();
        let mismatch = first.is_some_and(|f| f.revision != part.revision || f.count != part.count);
        if mismatch {
            self.snapshot_parts.clear();
        }
        let expected = self.snapshot_parts.len() as u32;
        if part.number != expected {
            return self.send(from, Message::PartRequest { number: expected }, out);
        }
        let count = part.count;
        self.snapshot_parts.push(part);
        if self.snapshot_parts.len() < count as usize {
            let number = self.snapshot_parts.len() as u32;
            return self.send(from, Message::PartRequest { number }, out);
        }
        let parts = std::mem::take(&mut self.snapshot_parts);
        self.notes_requested_at = None;
        self.install_snapshot(now, &parts, agreed, out);
    }

    /// Installs a complete snapshot as the catalog. Ignored on a member that
    /// already has a catalog.
    pub(super) fn install_snapshot(
        &mut self,
        now: Instant,
        parts: &[Part],
        agreed: Revision,
        out: &mut Vec<Action>,
    ) {
        if self.catalog.revision() > Revision::default() {
            return;
        }
        let Ok(catalog) = Catalog::from_parts(parts, self.options.placement, now) else {
            self.counters.error(ErrorKind::StoreMalformed);
            return;
        };
        self.catalog = catalog;
        let known = self.catalog.revision();
        self.agreement.record_known(known, now);
        let keys: Vec<ServiceKey> = self.catalog.services().map(|(key, _)| key).collect();
        self.apply_catalog_change(now, &keys);
        if self.agreement.raise_agreed(agreed) {
            self.apply_agreed_revision(now, out);
        }
        self.tick_agreement(now, out);
        self.announce_revisions(out);
    }
}
