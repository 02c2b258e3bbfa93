//! Snapshots: a newcomer takes the catalog in parts, from the store or from a
//! peer, instead of replaying every release note.

use crate::{
    catalog::{Catalog, Part},
    message::Message,
    prelude::*,
};

use super::Node;

impl Node {
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

    /// Collects a part and asks for the next one. A part of another revision
    /// than the ones before means that the peer's catalog has changed: the
    /// collection starts over.
    pub(super) fn take_part(
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
        self.notes_asked = Some(now);
        let first = self.parts.first();
        let other = first.is_some_and(|f| f.revision != part.revision || f.count != part.count);
        if other {
            self.parts.clear();
        }
        let expected = self.parts.len() as u32;
        if part.number != expected {
            return self.send(from, Message::PartWanted { number: expected }, out);
        }
        let count = part.count;
        self.parts.push(part);
        if self.parts.len() < count as usize {
            let number = self.parts.len() as u32;
            return self.send(from, Message::PartWanted { number }, out);
        }
        let parts = std::mem::take(&mut self.parts);
        self.notes_asked = None;
        self.install(now, &parts, agreed, out);
    }

    /// Starts with a catalog that others made; only a member that knows none
    /// does so.
    pub(super) fn install(
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
        self.catalog_changed(now, &keys);
        if self.agreement.raise_agreed(agreed) {
            self.came_into_force(now, out);
        }
        self.tick_agreement(now, out);
        self.tell_neighbours(out);
    }
}
