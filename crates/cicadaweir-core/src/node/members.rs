//! Membership: probes, answers, gossip, and this member's own phases.

use indexmap::IndexMap;

use crate::{
    membership::{Health, ListEntry, Member, MemberUpdate, MergeOutcome, Phase, Probe},
    message::{Gossip, Message},
    prelude::*,
};

use super::Node;

/// The most marks, and the most loads, that ride on one message.
const MOST_NEWS: usize = 6;

/// The most records in one page of members.
const MEMBERS_PAGE: usize = 24;

/// The least time between two requests for all members.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two looks at every member.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Another member's request to probe a third.
#[derive(Debug, Clone, Copy)]
struct Errand {
    requester: MemberId,
    sequence: u32,
    since: Instant,
}

/// What a node keeps about its dealings with the other members.
#[derive(Debug, Clone, Default)]
pub(super) struct Relations {
    errands: IndexMap<(MemberId, u32), Errand>,
    errand_sequence: u32,
    /// Members that take part in the agreement, ascending.
    pub order: Vec<MemberId>,
    /// The digest of the view.
    pub digest: u64,
    /// Whether the full list of members is to be asked for, and when it was
    /// last.
    wants_members: bool,
    members_asked: Option<Instant>,
    /// The member that answered last.
    last_answer: Option<MemberId>,
    last_heard: Option<Instant>,
    next_review: Instant,
    pub leave_deadline: Option<Instant>,
    pub left_at: Option<Instant>,
}

impl Node {
    /// Returns whether a message may be its sender's, by the address it came
    /// from: the known one, or the one that a newer record of the sender, in the
    /// message itself, names. A VM that is replaced at another address speaks so.
    pub fn accepts_source(&self, from: MemberId, address: &Endpoint, message: &Message) -> bool {
        let known = self.view.get(from).map(|m| m.record);
        if known.is_some_and(|k| k.address == *address) {
            return true;
        }
        let newer = |m: &&MemberUpdate| known.is_none_or(|k| m.incarnation > k.incarnation);
        let own = own_record(from, message).filter(newer);
        own.is_some_and(|m| m.address == *address)
    }

    pub(super) fn message(
        &mut self,
        now: Instant,
        from: MemberId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if self.view.get(from).is_none() && own_record(from, &message).is_none() {
            self.counters.error(ErrorKind::PeerUnknown);
            return;
        }
        self.relations.last_heard = Some(now);
        match message {
            Message::Probe { sequence, gossip } => {
                self.hear(now, from, gossip, out);
                let gossip = self.gossip_for(from);
                let member = self.view.me();
                self.send(
                    from,
                    Message::ProbeAnswer {
                        member,
                        sequence,
                        gossip,
                    },
                    out,
                );
            }
            Message::ProbeAnswer {
                member,
                sequence,
                gossip,
            } => {
                self.hear(now, from, gossip, out);
                self.probe_answered(member, sequence, out);
                self.leave_behind_state(now);
            }
            Message::ProbeFor { member, sequence } => {
                self.run_errand(now, from, member, sequence, out);
            }
            Message::MembersWanted { start } => self.send_members(from, start, out),
            Message::Members {
                start,
                members,
                more,
            } => self.members_page(now, from, start, &members, more, out),
            Message::Known { revision } => self.agreement.record_child_report(from, revision),
            Message::Revisions { known, agreed } => {
                self.hear_revisions(now, from, known, agreed, out);
            }
            Message::Marks { marks } => self.hear_marks(now, &marks),
            Message::NotesWanted { have } => self.send_notes(now, from, have, out),
            Message::Notes { notes, agreed } => self.notes_from_peer(now, notes, agreed, out),
            Message::PartWanted { number } => self.send_part(now, from, number, out),
            Message::Part { part, agreed } => self.take_part(now, from, *part, agreed, out),
            Message::ExceptionsWanted { slots, take_over } => {
                self.serve_exceptions(from, slots, take_over);
            }
            Message::Exceptions {
                flows,
                last,
                take_over,
            } => self.take_exceptions(from, flows, last, take_over),
            Message::Lookup { flow_hash } => self.answer_lookup(now, from, flow_hash, out),
            Message::Broken { flow_hash, target } => self.mark_broken(now, flow_hash, target),
            Message::LookupAnswer { flow_hash, memory } => {
                self.lookup_answered(now, from, flow_hash, memory, out);
            }
        }
    }

    pub(super) fn send(&mut self, to: MemberId, message: Message, out: &mut Vec<Action>) {
        self.counters.message(message.kind());
        out.push(Action::Send { to, message });
    }

    /// Builds the news for a message to a member. A member that is taken for
    /// suspect or dead is told so, so that it can refute.
    pub(super) fn gossip_for(&mut self, to: MemberId) -> Gossip {
        let mut members = vec![*self.view.my_record()];
        if let Some(member) = self.view.get(to) {
            if member.record.health != Health::Alive {
                members.push(member.record);
            }
        }
        members.extend(self.dissemination.take());
        Gossip {
            known: self.agreement.known(),
            agreed: self.agreement.agreed(),
            view: self.relations.digest,
            members,
            marks: self.take_mark_news(MOST_NEWS),
            loads: self.take_load_news(MOST_NEWS),
        }
    }

    pub(super) fn hear(
        &mut self,
        now: Instant,
        from: MemberId,
        gossip: Gossip,
        out: &mut Vec<Action>,
    ) {
        let mut changed = false;
        self.note_reunion(from);
        for update in &gossip.members {
            changed |= self.merge(now, update);
        }
        if changed {
            self.refresh_members(now);
        }
        if self.view.take_declared_dead() {
            self.rejoin(now);
        }
        self.hear_marks(now, &gossip.marks);
        self.hear_loads(now, &gossip.loads);
        self.hear_revisions(now, from, gossip.known, gossip.agreed, out);
        self.relations.last_answer = Some(from);
        if self.relations.members_asked.is_none() {
            self.ask_members(now, out);
        }
    }

    /// A member that was taken for dead speaks: others may have come back
    /// with it, as after a cut between regions.
    pub(super) fn note_reunion(&mut self, from: MemberId) {
        let was_dead = self.view.get(from).is_some_and(|m| !m.reachable());
        self.relations.wants_members |= was_dead;
    }

    pub(super) fn ask_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(from) = self.relations.last_answer else {
            return;
        };
        self.relations.members_asked = Some(now);
        self.relations.wants_members = false;
        self.send(from, Message::MembersWanted { start: 0 }, out);
    }

    /// Asks for all members again after a reunion, or while the platform
    /// lists members that nobody has mentioned yet.
    pub(super) fn refresh_list(&mut self, now: Instant, out: &mut Vec<Action>) {
        let asked = self.relations.members_asked;
        if asked.is_some_and(|at| now.since(at) < MEMBERS_INTERVAL) {
            return;
        }
        let mentioned = |m: &Member| m.record.incarnation > 0 || !m.reachable();
        if self.relations.wants_members || !self.view.iter().all(mentioned) {
            self.ask_members(now, out);
        }
    }

    /// Merges one record; returns whether the view changed.
    pub(super) fn merge(&mut self, now: Instant, update: &MemberUpdate) -> bool {
        match self.view.merge(update, now) {
            MergeOutcome::Unchanged => false,
            MergeOutcome::Updated => {
                self.dissemination.push(*update, self.view.len());
                true
            }
            MergeOutcome::Refuted => {
                let me = *self.view.my_record();
                self.dissemination.push(me, self.view.len());
                true
            }
        }
    }

    pub(super) fn probe_answered(
        &mut self,
        member: MemberId,
        sequence: u32,
        out: &mut Vec<Action>,
    ) {
        self.detector.record_ack(member, sequence);
        let Some(errand) = self.relations.errands.swap_remove(&(member, sequence)) else {
            return;
        };
        let gossip = self.gossip_for(errand.requester);
        let answer = Message::ProbeAnswer {
            member,
            sequence: errand.sequence,
            gossip,
        };
        self.send(errand.requester, answer, out);
    }

    /// Probes a third member for another one. Sequence numbers of errands
    /// have the top bit, so that they never meet the detector's own.
    pub(super) fn run_errand(
        &mut self,
        now: Instant,
        requester: MemberId,
        member: MemberId,
        sequence: u32,
        out: &mut Vec<Action>,
    ) {
        let relations = &mut self.relations;
        relations.errand_sequence = relations.errand_sequence.wrapping_add(1);
        let own = relations.errand_sequence | 1 << 31;
        let errand = Errand {
            requester,
            sequence,
            since: now,
        };
        relations.errands.insert((member, own), errand);
        let gossip = self.gossip_for(member);
        let probe = Message::Probe {
            sequence: own,
            gossip,
        };
        self.send(member, probe, out);
    }

    pub(super) fn send_members(&mut self, to: MemberId, start: u32, out: &mut Vec<Action>) {
        let known = |m: &&Member| m.record.incarnation > 0;
        let mut rest = self.view.iter().filter(known).skip(start as usize);
        let members: Vec<MemberUpdate> =
            rest.by_ref().take(MEMBERS_PAGE).map(|m| m.record).collect();
        let more = rest.next().is_some();
        drop(rest);
        let page = Message::Members {
            start,
            members,
            more,
        };
        self.send(to, page, out);
    }

    pub(super) fn members_page(
        &mut self,
        now: Instant,
        from: MemberId,
        start: u32,
        members: &[MemberUpdate],
        more: bool,
        out: &mut Vec<Action>,
    ) {
        for update in members {
            self.view.merge(update, now);
        }
        self.refresh_members(now);
        if more {
            let start = start + members.len() as u32;
            self.send(from, Message::MembersWanted { start }, out);
        }
    }

    pub(super) fn list(&mut self, now: Instant, list: &[ListEntry]) {
        self.view.apply_list(list, now);
        self.refresh_members(now);
    }

    pub(super) fn tick_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(probe) = self.detector.start_probe(now, &self.view) {
            let gossip = self.gossip_for(probe.member);
            let sequence = probe.sequence;
            self.send(probe.member, Message::Probe { sequence, gossip }, out);
        }
        for (probe, helpers) in self.detector.indirect_probes(now, &self.view) {
            self.ask_helpers(&probe, &helpers, out);
        }
        if now >= self.relations.next_review {
            self.relations.next_review = now + REVIEW_INTERVAL;
            self.review_members(now, out);
        }
    }

    /// Does what takes a look at every member.
    pub(super) fn review_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        let news = self.detector.detect_failures(now, &mut self.view);
        for update in &news {
            self.dissemination.push(*update, self.view.len());
        }
        if !news.is_empty() {
            self.refresh_members(now);
        }
        let period = self.options.membership.probe_period;
        self.relations
            .errands
            .retain(|_, e| now.since(e.since) < period);
        self.refresh_list(now, out);
        self.view
            .evict_dead(now, self.options.membership.tombstone_ttl);
        self.end_isolation(now);
        self.advance_phase(now, out);
        self.update_watch(out);
    }

    pub(super) fn ask_helpers(
        &mut self,
        probe: &Probe,
        helpers: &[MemberId],
        out: &mut Vec<Action>,
    ) {
        for &helper in helpers {
            let errand = Message::ProbeFor {
                member: probe.member,
                sequence: probe.sequence,
            };
            self.send(helper, errand, out);
        }
    }

    /// Recomputes everything that follows from the view.
    pub(super) fn refresh_members(&mut self, now: Instant) {
        let owners = self.view.iter().filter(|m| m.owns_buckets());
        let owners: Vec<MemberId> = owners.map(|m| m.record.id).collect();
        let me = self.view.me();
        let gained = self
            .recovery
            .update_owners(now, &mut self.slots, &owners, me);
        let me = self.view.me();
        let joining = self.phase() == Phase::Joining;
        let stays = self.view.iter().filter(|m| m.is_active());
        let mut next: Vec<MemberId> = stays.map(|m| m.record.id).collect();
        if joining && !self.relations.is_cut_off(self.behind_since) {
            next.push(me);
        }
        self.recovery.update_next(&next);
        self.relations.order = self
            .view
            .iter()
            .filter(|m| m.reachable() && m.record.incarnation > 0)
            .map(|m| m.record.id)
            .collect();
        self.relations.order.sort_unstable();
        self.relations.digest = self.view.digest();
        self.acquire(now, gained);
        self.refresh_probing(now);
    }
}

impl Relations {
    /// Returns whether this member has not heard the others since it became
    /// behind.
    pub(super) fn is_cut_off(&self, behind_since: Option<Instant>) -> bool {
        behind_since.is_some_and(|since| self.last_heard.is_none_or(|heard| heard < since))
    }
}

/// Returns the record of its sender that a message carries, if any.
fn own_record(from: MemberId, message: &Message) -> Option<&MemberUpdate> {
    match message {
        Message::Probe { gossip, .. } | Message::ProbeAnswer { gossip, .. } => {
            gossip.members.iter().find(|m| m.id == from)
        }
        _ => None,
    }
}
