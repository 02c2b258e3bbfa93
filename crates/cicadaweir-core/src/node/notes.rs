//! Release notes: received from the store and from peers, and brought into
//! force.

use std::sync::Arc;

use crate::{
    catalog::ReleaseNote,
    membership::{MemberId, Phase},
    message::Message,
    prelude::*,
};

use super::{Guard, Node};

/// The maximum number of release notes in one message.
const MAX_NOTES_PER_MESSAGE: usize = 16;

/// The maximum number of release notes that a joining member replays; beyond
/// it the member receives a snapshot.
const MAX_REPLAYED_NOTES: u64 = 64;

/// The maximum number of release notes kept to serve peers.
const MAX_RETAINED_NOTES: usize = 4_096;

/// The time after which an unanswered request for notes may be repeated.
const NOTES_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// A release note that is kept to serve peers.
#[derive(Debug, Clone)]
pub(super) struct RetainedNote {
    note: Arc<ReleaseNote>,
    /// The age of the note when this member received it. Peers pass the age on
    /// with the note.
    age: Duration,
    received_at: Instant,
}

impl Node {
    /// Applies a note that the driver read from the store. Notes that are out
    /// of order are ignored; the driver reads them again from
    /// [`Node::known_revision`] on.
    pub(super) fn handle_store_note(
        &mut self,
        now: Instant,
        note: Arc<ReleaseNote>,
        out: &mut Vec<Action>,
    ) {
        if note.revision == self.catalog.revision().next() {
            let age = self.note_age(now, &note);
            self.apply_note(now, note, age);
            self.tick_agreement(now, out);
            self.announce_revisions(out);
        }
    }

    /// Returns the newest revision that this member has received.
    pub const fn known_revision(&self) -> Revision {
        self.catalog.revision()
    }

    /// Applies the next note to the catalog and keeps it to serve peers.
    fn apply_note(&mut self, now: Instant, note: Arc<ReleaseNote>, age: Duration) {
        let Ok(touched) = self.catalog.apply(&note) else {
            self.counters.error(ErrorKind::NoteInvalid);
            return;
        };
        self.agreement.record_known(note.revision, now);
        self.retire_old_generations(age);
        self.notes.push(RetainedNote {
            note,
            age,
            received_at: now,
        });
        if self.notes.len() > MAX_RETAINED_NOTES {
            self.notes.drain(..MAX_RETAINED_NOTES / 2);
        }
        self.apply_catalog_change(now, &touched);
    }

    /// Returns the age of a note from the store. Only a joining member relies on
    /// the publisher's clock, because it also reads old notes; on all others a
    /// note counts as new.
    fn note_age(&self, now: Instant, note: &ReleaseNote) -> Duration {
        if self.phase() != Phase::Joining {
            return Duration::ZERO;
        }
        Duration::from_millis(self.wall_clock_ms(now).saturating_sub(note.published_ms))
    }

    /// Retires all superseded generations if a note's age exceeds the time for
    /// which idle flows are remembered. Only a joining member reads such notes.
    fn retire_old_generations(&mut self, age: Duration) {
        if age <= self.options.expiry.established {
            return;
        }
        let services: Vec<ServiceKey> = self.catalog.multi_generation_services().collect();
        for key in services {
            self.catalog.retire_generations(key, |_| true);
            self.refresh_ambiguous_slots(key);
        }
    }

    /// Returns the milliseconds since 1970, derived from the first incarnation
    /// and the driver's clock.
    fn wall_clock_ms(&self, now: Instant) -> u64 {
        self.start_unix_ms + now.since(self.start_instant).as_millis()
    }

    /// Processes a peer's revisions: requests notes that are missing here, and
    /// brings a newly agreed revision into force.
    pub(super) fn merge_revisions(
        &mut self,
        now: Instant,
        from: MemberId,
        known: Revision,
        agreed: Revision,
        out: &mut Vec<Action>,
    ) {
        if known > self.agreement.known() {
            self.request_notes(now, from, out);
        }
        if self.agreement.raise_agreed(agreed) {
            self.apply_agreed_revision(now, out);
            self.announce_revisions(out);
        }
    }

    /// Sends this member's known and agreed revisions to its neighbours in the
    /// tree. Called as soon as either changes.
    pub(super) fn announce_revisions(&mut self, out: &mut Vec<Action>) {
        let (known, agreed) = (self.agreement.known(), self.agreement.agreed());
        for to in self.tree_neighbours() {
            self.send(to, Message::Revisions { known, agreed }, out);
        }
    }

    /// Returns this member's parent and children in the agreement tree.
    pub(super) fn tree_neighbours(&self) -> Vec<MemberId> {
        let order = &self.exchange.agreement_order;
        self.agreement.neighbours(self.view.me(), order).collect()
    }

    /// Requests missing notes from a member, unless a request is pending.
    pub(super) fn request_notes(&mut self, now: Instant, from: MemberId, out: &mut Vec<Action>) {
        let pending = |at: Instant| now.since(at) < NOTES_REQUEST_TIMEOUT;
        if self.notes_requested_at.is_some_and(pending) {
            return;
        }
        self.notes_requested_at = Some(now);
        let have = self.catalog.revision();
        self.send(from, Message::NotesRequest { have }, out);
    }

    /// Answers a request for notes after revision `have`, with the first part
    /// of a snapshot if the member needs one.
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
        let notes = self.notes[first..].iter().take(MAX_NOTES_PER_MESSAGE);
        let notes = notes
            .map(|n| (Arc::clone(&n.note), n.age + now.since(n.received_at)))
            .collect();
        let agreed = self.agreement.agreed();
        self.send(to, Message::Notes { notes, agreed }, out);
    }

    /// Applies notes that a peer sent, each with its age.
    pub(super) fn handle_peer_notes(
        &mut self,
        now: Instant,
        notes: Vec<(Arc<ReleaseNote>, Duration)>,
        agreed: Revision,
        out: &mut Vec<Action>,
    ) {
        self.notes_requested_at = None;
        let before = self.agreement.known();
        for (note, age) in notes {
            if note.revision == self.catalog.revision().next() {
                self.apply_note(now, note, age);
            }
        }
        let in_force = self.agreement.raise_agreed(agreed);
        if in_force {
            self.apply_agreed_revision(now, out);
        }
        if in_force || self.agreement.known() > before {
            self.announce_revisions(out);
        }
        self.tick_agreement(now, out);
    }

    /// Reports the revision that this member's subtree knows to its parent, and
    /// brings a newly agreed revision into force.
    pub(super) fn tick_agreement(&mut self, now: Instant, out: &mut Vec<Action>) {
        let me = self.view.me();
        let order = std::mem::take(&mut self.exchange.agreement_order);
        if !self.guard_enabled(Guard::AnnounceBeforeUse) {
            let known = self.agreement.known();
            self.agreement.force(known);
        }
        let (report, changed) = self.agreement.tick(now, me, &order);
        self.exchange.agreement_order = order;
        if let Some(report) = report {
            let revision = report.known;
            self.send(report.to, Message::Known { revision }, out);
        }
        if changed {
            self.apply_agreed_revision(now, out);
            self.announce_revisions(out);
        }
    }

    /// Brings the agreed revision into force on this member.
    pub(super) fn apply_agreed_revision(&mut self, now: Instant, out: &mut Vec<Action>) {
        let revision = self.agreement.agreed();
        self.catalog.supersede(revision, now);
        out.push(Action::InForce { revision });
    }

    /// Expires a pending request for notes, and retires generations that no
    /// open flow can belong to: they have been superseded for longer than an
    /// idle flow is remembered, and no remembered flow depends on them.
    pub(super) fn tick_notes(&mut self, now: Instant, _out: &mut Vec<Action>) {
        let timed_out = |at: Instant| now.since(at) >= NOTES_REQUEST_TIMEOUT;
        if self.notes_requested_at.is_some_and(timed_out) {
            self.notes_requested_at = None;
        }
        if now.as_micros() % GENERATION_RETIRE_INTERVAL.as_micros()
            >= super::TICK_INTERVAL.as_micros()
        {
            return;
        }
        let limit = self.options.expiry.established;
        let services: Vec<ServiceKey> = self.catalog.multi_generation_services().collect();
        for key in services {
            let base = self.catalog.service(key).base();
            let expired = Catalog::superseded_for(base, now) >= limit;
            if expired && !self.base_generation_in_use(key) {
                let mut first = true;
                self.catalog
                    .retire_generations(key, |_| std::mem::take(&mut first));
                self.apply_catalog_change(now, &[key]);
            }
        }
    }

    /// Returns whether a remembered flow is on a target that its bucket maps to
    /// in the oldest generation but not in the next one.
    fn base_generation_in_use(&self, key: ServiceKey) -> bool {
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

    /// Returns whether a member that knows no revision is to receive a
    /// snapshot: it would have many notes to replay, or its next note is no
    /// longer kept here.
    fn needs_snapshot(&self, have: Revision) -> bool {
        let lag = self.catalog.revision().0.saturating_sub(have.0);
        let oldest_retained = self.notes.first().map_or(0, |n| n.note.revision.0);
        let missing = lag > 0 && (oldest_retained == 0 || oldest_retained > have.0 + 1);
        have == Revision::default() && (missing || lag > MAX_REPLAYED_NOTES)
    }

    /// Recomputes everything that is derived from the catalog after services
    /// have changed.
    pub(super) fn apply_catalog_change(&mut self, now: Instant, touched: &[ServiceKey]) {
        self.add_target_states(now);
        for &key in touched {
            self.refresh_ambiguous_slots(key);
        }
        self.fetch_exceptions(now, Vec::new());
        self.assign_probes(now);
    }
}

/// The interval between two searches for generations to retire.
const GENERATION_RETIRE_INTERVAL: Duration = Duration::from_secs(10);
