//! Release notes: from the store, from other members, into force.

use std::sync::Arc;

use crate::{
    catalog::ReleaseNote,
    membership::{MemberId, Phase},
    message::Message,
    prelude::*,
};

use super::{Guard, Node};

/// The most release notes in one message.
const MOST_NOTES: usize = 16;

/// The most release notes that a newcomer replays instead of taking a snapshot.
const MOST_REPLAYED: u64 = 64;

/// The most release notes that are held for others.
const MOST_HELD: usize = 4_096;

/// How long an unanswered request for notes stands.
const NOTES_PATIENCE: Duration = Duration::from_millis(300);

/// A release note, and how long ago somebody first learned of it.
#[derive(Debug, Clone)]
pub(super) struct HeldNote {
    note: Arc<ReleaseNote>,
    age: Duration,
    since: Instant,
}

impl Node {
    /// Takes a note that the driver read from the store. Notes that are out
    /// of order are ignored; the driver reads them again from
    /// [`Node::known_revision`] on.
    pub(super) fn note_from_store(
        &mut self,
        now: Instant,
        note: Arc<ReleaseNote>,
        out: &mut Vec<Action>,
    ) {
        if note.revision == self.catalog.revision().next() {
            let age = self.published_age(now, &note);
            self.apply_note(now, note, age);
            self.tick_agreement(now, out);
            self.tell_neighbours(out);
        }
    }

    /// Returns the newest revision that this member knows.
    pub const fn known_revision(&self) -> Revision {
        self.catalog.revision()
    }

    fn apply_note(&mut self, now: Instant, note: Arc<ReleaseNote>, age: Duration) {
        let Ok(touched) = self.catalog.apply(&note) else {
            self.counters.error(ErrorKind::NoteInvalid);
            return;
        };
        self.agreement.record_known(note.revision, now);
        self.retire_by_age(age);
        self.notes.push(HeldNote {
            note,
            age,
            since: now,
        });
        if self.notes.len() > MOST_HELD {
            self.notes.drain(..MOST_HELD / 2);
        }
        self.catalog_changed(now, &touched);
    }

    /// Returns how old a note from the store is. Only a newcomer goes by the
    /// publisher's clock; to everybody else what is new is new.
    fn published_age(&self, now: Instant, note: &ReleaseNote) -> Duration {
        if self.phase() != Phase::Joining {
            return Duration::ZERO;
        }
        Duration::from_millis(self.wall_clock_ms(now).saturating_sub(note.published_ms))
    }

    /// A newcomer reads old notes: generations that ended long ago are not
    /// live any more.
    fn retire_by_age(&mut self, age: Duration) {
        if age <= self.options.expiry.established {
            return;
        }
        let services: Vec<ServiceKey> = self.catalog.multi_generation_services().collect();
        for key in services {
            self.catalog.retire_generations(key, |_| true);
            self.refresh_ambiguous_slots(key);
        }
    }

    /// Returns the milliseconds since 1970, by the first incarnation.
    fn wall_clock_ms(&self, now: Instant) -> u64 {
        self.start_ms + now.since(self.created).as_millis()
    }

    pub(super) fn hear_revisions(
        &mut self,
        now: Instant,
        from: MemberId,
        known: Revision,
        agreed: Revision,
        out: &mut Vec<Action>,
    ) {
        if known > self.agreement.known() {
            self.want_notes(now, from, out);
        }
        if self.agreement.raise_agreed(agreed) {
            self.came_into_force(now, out);
            self.tell_neighbours(out);
        }
    }

    /// Tells the neighbours in the tree which revisions this member stands
    /// at, as soon as they change.
    pub(super) fn tell_neighbours(&mut self, out: &mut Vec<Action>) {
        let (known, agreed) = (self.agreement.known(), self.agreement.agreed());
        for to in self.tree_neighbours() {
            self.send(to, Message::Revisions { known, agreed }, out);
        }
    }

    /// Returns this member's parent and children in the tree.
    pub(super) fn tree_neighbours(&self) -> Vec<MemberId> {
        let order = &self.relations.order;
        self.agreement.neighbours(self.view.me(), order).collect()
    }

    pub(super) fn want_notes(&mut self, now: Instant, from: MemberId, out: &mut Vec<Action>) {
        let patient = |at: Instant| now.since(at) < NOTES_PATIENCE;
        if self.notes_asked.is_some_and(patient) {
            return;
        }
        self.notes_asked = Some(now);
        let have = self.catalog.revision();
        self.send(from, Message::NotesWanted { have }, out);
    }

    pub(super) fn send_notes(
        &mut self,
        now: Instant,
        to: MemberId,
        have: Revision,
        out: &mut Vec<Action>,
    ) {
        if self.needs_snapshot(have) {
            return self.send_part(now, to, 0, out);
        }
        let first = self.notes.partition_point(|n| n.note.revision <= have);
        let notes = self.notes[first..].iter().take(MOST_NOTES);
        let notes = notes
            .map(|n| (Arc::clone(&n.note), n.age + now.since(n.since)))
            .collect();
        let agreed = self.agreement.agreed();
        self.send(to, Message::Notes { notes, agreed }, out);
    }

    pub(super) fn notes_from_peer(
        &mut self,
        now: Instant,
        notes: Vec<(Arc<ReleaseNote>, Duration)>,
        agreed: Revision,
        out: &mut Vec<Action>,
    ) {
        self.notes_asked = None;
        let before = self.agreement.known();
        for (note, age) in notes {
            if note.revision == self.catalog.revision().next() {
                self.apply_note(now, note, age);
            }
        }
        let in_force = self.agreement.raise_agreed(agreed);
        if in_force {
            self.came_into_force(now, out);
        }
        if in_force || self.agreement.known() > before {
            self.tell_neighbours(out);
        }
        self.tick_agreement(now, out);
    }

    pub(super) fn tick_agreement(&mut self, now: Instant, out: &mut Vec<Action>) {
        let me = self.view.me();
        let order = std::mem::take(&mut self.relations.order);
        if !self.guards(Guard::AnnounceBeforeUse) {
            let known = self.agreement.known();
            self.agreement.force(known);
        }
        let (report, changed) = self.agreement.tick(now, me, &order);
        self.relations.order = order;
        if let Some(report) = report {
            let revision = report.known;
            self.send(report.to, Message::Known { revision }, out);
        }
        if changed {
            self.came_into_force(now, out);
            self.tell_neighbours(out);
        }
    }

    pub(super) fn came_into_force(&mut self, now: Instant, out: &mut Vec<Action>) {
        let revision = self.agreement.agreed();
        self.catalog.supersede(revision, now);
        out.push(Action::InForce { revision });
    }

    /// Ends generations that no open flow can be in: superseded for longer
    /// than a quiet flow is remembered, and not needed by a remembered one.
    pub(super) fn tick_notes(&mut self, now: Instant, _out: &mut Vec<Action>) {
        let expired = |at: Instant| now.since(at) >= NOTES_PATIENCE;
        if self.notes_asked.is_some_and(expired) {
            self.notes_asked = None;
        }
        if now.as_micros() % RETIRE_INTERVAL.as_micros() >= super::TICK_INTERVAL.as_micros() {
            return;
        }
        let limit = self.options.expiry.established;
        let services: Vec<ServiceKey> = self.catalog.multi_generation_services().collect();
        for key in services {
            let over = self.catalog.service(key).base();
            let quiet = Catalog::superseded_for(over, now) >= limit;
            if quiet && !self.base_is_used(key) {
                let mut first = true;
                self.catalog
                    .retire_generations(key, |_| std::mem::take(&mut first));
                self.catalog_changed(now, &[key]);
            }
        }
    }

    /// Returns whether a remembered flow is on a target that its bucket has
    /// in the oldest generation only.
    fn base_is_used(&self, key: ServiceKey) -> bool {
        let service = self.catalog.service(key);
        let [base, next, ..] = service.generations.as_slice() else {
            return false;
        };
        self.flows.iter().any(|entry| {
            let bucket = crate::placement::bucket(entry.flow_hash());
            service.addresses.contains(&entry.address())
                && entry.target == base.target(bucket)
                && entry.target != next.target(bucket)
        })
    }

    /// Returns whether a member is better served by a snapshot: it knows
    /// nothing and has much to replay, or its next note is not held here.
    fn needs_snapshot(&self, have: Revision) -> bool {
        let behind = self.catalog.revision().0.saturating_sub(have.0);
        let held = self.notes.first().map_or(0, |n| n.note.revision.0);
        let missing = behind > 0 && (held == 0 || held > have.0 + 1);
        have == Revision::default() && (missing || behind > MOST_REPLAYED)
    }

    pub(super) fn catalog_changed(&mut self, now: Instant, touched: &[ServiceKey]) {
        self.grow_targets(now);
        for &key in touched {
            self.refresh_ambiguous_slots(key);
        }
        self.acquire(now, Vec::new());
        self.refresh_probing(now);
    }
}

/// The time between two looks for generations that have ended.
const RETIRE_INTERVAL: Duration = Duration::from_secs(10);
