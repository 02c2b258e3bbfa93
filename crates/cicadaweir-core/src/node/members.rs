//! Membership: message dispatch, probes and their answers, and gossip.

use indexmap::IndexMap;

use crate::{
    membership::{Health, ListEntry, Member, MemberUpdate, MergeOutcome, Phase, Probe},
    message::{Gossip, Message},
    prelude::*,
};

use super::Node;

/// The maximum number of marks, and likewise of loads, in one gossip message.
const MAX_GOSSIP_UPDATES: usize = 6;

/// The maximum number of records in one page of members.
const MEMBERS_PAGE_SIZE: usize = 24;

/// The minimum interval between two requests for all members.
const MEMBERS_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two checks of all members.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A probe that this member sends on behalf of another member, which requested
/// it with [`Message::IndirectProbeRequest`].
#[derive(Debug, Clone, Copy)]
struct RelayedProbe {
    requester: MemberId,
    /// The sequence number that the requester expects in the answer.
    sequence: u32,
    sent_at: Instant,
}

/// The state of the message exchange with the other members, and what is derived
/// from the membership view.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerExchange {
    /// Keyed by the probed member and this member's own sequence number.
    relayed_probes: IndexMap<(MemberId, u32), RelayedProbe>,
    relayed_probe_sequence: u32,
    /// The members that take part in the agreement, in ascending order.
    pub agreement_order: Vec<MemberId>,
    /// The digest of the membership view.
    pub view_digest: u64,
    /// Whether the full list of members is to be requested.
    members_request_needed: bool,
    members_requested_at: Option<Instant>,
    /// The member whose gossip arrived last.
    last_gossip_from: Option<MemberId>,
    last_message_at: Option<Instant>,
    next_member_check: Instant,
    /// The deadline of a planned stop; absent before it starts.
    pub leave_deadline: Option<Instant>,
    pub left_at: Option<Instant>,
}

impl Node {
    /// Returns whether a message's source address is accepted for its sender:
    /// either the sender's known address, or the address in a newer record of
    /// the sender that the message itself contains. The latter is how a VM that
    /// was replaced at another address introduces itself.
    pub fn accepts_source(&self, from: MemberId, address: &Endpoint, message: &Message) -> bool {
        let known = self.view.get(from).map(|m| m.record);
        if known.is_some_and(|k| k.address == *address) {
            return true;
        }
        let newer = |m: &&MemberUpdate| known.is_none_or(|k| m.incarnation > k.incarnation);
        let own = sender_record(from, message).filter(newer);
        own.is_some_and(|m| m.address == *address)
    }

    /// Processes a message. Messages from unknown members are rejected unless
    /// they contain the sender's record.
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        from: MemberId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        if self.view.get(from).is_none() && sender_record(from, &message).is_none() {
            self.counters.error(ErrorKind::PeerUnknown);
            return;
        }
        self.exchange.last_message_at = Some(now);
        match message {
            Message::Probe { sequence, gossip } => {
                self.merge_gossip(now, from, gossip, out);
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
                self.merge_gossip(now, from, gossip, out);
                self.handle_probe_answer(member, sequence, out);
                self.clear_stale(now);
            }
            Message::IndirectProbeRequest { member, sequence } => {
                self.relay_probe(now, from, member, sequence, out);
            }
            Message::MembersRequest { start } => self.send_members(from, start, out),
            Message::Members {
                start,
                members,
                more,
            } => self.merge_members_page(now, from, start, &members, more, out),
            Message::Known { revision } => self.agreement.record_child_report(from, revision),
            Message::Revisions { known, agreed } => {
                self.merge_revisions(now, from, known, agreed, out);
            }
            Message::Marks { marks } => self.merge_marks(now, &marks),
            Message::NotesRequest { have } => self.send_notes(now, from, have, out),
            Message::Notes { notes, agreed } => self.handle_peer_notes(now, notes, agreed, out),
            Message::PartRequest { number } => self.send_part(now, from, number, out),
            Message::Part { part, agreed } => self.collect_part(now, from, *part, agreed, out),
            Message::ExceptionsRequest { slots, take_over } => {
                self.start_transfer(from, slots, take_over);
            }
            Message::Exceptions {
                flows,
                last,
                take_over,
            } => self.merge_exceptions(from, flows, last, take_over),
            Message::Lookup { flow_hash } => self.answer_lookup(now, from, flow_hash, out),
            Message::TargetUnresponsive { flow_hash, target } => {
                self.mark_for_reset(now, flow_hash, target)
            }
            Message::LookupAnswer { flow_hash, record } => {
                self.handle_lookup_answer(now, from, flow_hash, record, out);
            }
        }
    }

    /// Counts a message and appends the action that sends it.
    pub(super) fn send(&mut self, to: MemberId, message: Message, out: &mut Vec<Action>) {
        self.counters.message(message.kind());
        out.push(Action::Send { to, message });
    }

    /// Builds the gossip for a message to a member. If this member considers the
    /// receiver suspect or dead, the gossip includes the receiver's record, so that
    /// the receiver can refute it.
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
            view: self.exchange.view_digest,
            members,
            marks: self.next_mark_updates(MAX_GOSSIP_UPDATES),
            loads: self.next_load_updates(MAX_GOSSIP_UPDATES),
        }
    }

    /// Merges gossip and, after the first, requests the full list of members.
    pub(super) fn merge_gossip(
        &mut self,
        now: Instant,
        from: MemberId,
        gossip: Gossip,
        out: &mut Vec<Action>,
    ) {
        let mut changed = false;
        self.detect_reconnection(from);
        for update in &gossip.members {
            changed |= self.merge_member(now, update);
        }
        if changed {
            self.apply_view_change(now);
        }
        if self.view.take_declared_dead() {
            self.rejoin(now);
        }
        self.merge_marks(now, &gossip.marks);
        self.merge_loads(now, &gossip.loads);
        self.merge_revisions(now, from, gossip.known, gossip.agreed, out);
        self.exchange.last_gossip_from = Some(from);
        if self.exchange.members_requested_at.is_none() {
            self.request_members(now, out);
        }
    }

    /// Schedules a request for all members if the sender was considered dead. Other
    /// members may have become reachable together with it, such as at the end of a
    /// partition between regions.
    pub(super) fn detect_reconnection(&mut self, from: MemberId) {
        let was_dead = self.view.get(from).is_some_and(|m| !m.reachable());
        self.exchange.members_request_needed |= was_dead;
    }

    /// Requests all members from the member whose gossip arrived last.
    pub(super) fn request_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(from) = self.exchange.last_gossip_from else {
            return;
        };
        self.exchange.members_requested_at = Some(now);
        self.exchange.members_request_needed = false;
        self.send(from, Message::MembersRequest { start: 0 }, out);
    }

    /// Requests all members again after a reconnection, or while the platform
    /// lists members for which no gossip has arrived yet.
    pub(super) fn refresh_member_list(&mut self, now: Instant, out: &mut Vec<Action>) {
        let requested = self.exchange.members_requested_at;
        if requested.is_some_and(|at| now.since(at) < MEMBERS_REQUEST_INTERVAL) {
            return;
        }
        let known = |m: &Member| m.record.incarnation > 0 || !m.reachable();
        if self.exchange.members_request_needed || !self.view.iter().all(known) {
            self.request_members(now, out);
        }
    }

    /// Merges one record, queues a change for gossip, and returns whether the
    /// view changed.
    pub(super) fn merge_member(&mut self, now: Instant, update: &MemberUpdate) -> bool {
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

    /// Records the answer to a probe. If the probe was made for another member,
    /// the answer is passed on to that member.
    pub(super) fn handle_probe_answer(
        &mut self,
        member: MemberId,
        sequence: u32,
        out: &mut Vec<Action>,
    ) {
        self.detector.record_ack(member, sequence);
        let Some(relayed) = self
            .exchange
            .relayed_probes
            .swap_remove(&(member, sequence))
        else {
            return;
        };
        let gossip = self.gossip_for(relayed.requester);
        let answer = Message::ProbeAnswer {
            member,
            sequence: relayed.sequence,
            gossip,
        };
        self.send(relayed.requester, answer, out);
    }

    /// Probes `member` on behalf of `requester`. The sequence numbers of such
    /// probes have the top bit set, so that they never coincide with those of
    /// the failure detector.
    pub(super) fn relay_probe(
        &mut self,
        now: Instant,
        requester: MemberId,
        member: MemberId,
        sequence: u32,
        out: &mut Vec<Action>,
    ) {
        let exchange = &mut self.exchange;
        exchange.relayed_probe_sequence = exchange.relayed_probe_sequence.wrapping_add(1);
        let own = exchange.relayed_probe_sequence | 1 << 31;
        let relayed = RelayedProbe {
            requester,
            sequence,
            sent_at: now,
        };
        exchange.relayed_probes.insert((member, own), relayed);
        let gossip = self.gossip_for(member);
        let probe = Message::Probe {
            sequence: own,
            gossip,
        };
        self.send(member, probe, out);
    }

    /// Sends one page of members, starting at position `start`.
    pub(super) fn send_members(&mut self, to: MemberId, start: u32, out: &mut Vec<Action>) {
        let known = |m: &&Member| m.record.incarnation > 0;
        let mut remaining = self.view.iter().filter(known).skip(start as usize);
        let members: Vec<MemberUpdate> = remaining
            .by_ref()
            .take(MEMBERS_PAGE_SIZE)
            .map(|m| m.record)
            .collect();
        let more = remaining.next().is_some();
        drop(remaining);
        let page = Message::Members {
            start,
            members,
            more,
        };
        self.send(to, page, out);
    }

    /// Merges one page of members and requests the next one.
    pub(super) fn merge_members_page(
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
        self.apply_view_change(now);
        if more {
            let start = start + members.len() as u32;
            self.send(from, Message::MembersRequest { start }, out);
        }
    }

    /// Merges the platform's list of members.
    pub(super) fn apply_member_list(&mut self, now: Instant, list: &[ListEntry]) {
        self.view.apply_list(list, now);
        self.apply_view_change(now);
    }

    /// Starts due probes and indirect probes, and checks all members at their
    /// interval.
    pub(super) fn tick_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(probe) = self.detector.start_probe(now, &self.view) {
            let gossip = self.gossip_for(probe.member);
            let sequence = probe.sequence;
            self.send(probe.member, Message::Probe { sequence, gossip }, out);
        }
        for (probe, helpers) in self.detector.indirect_probes(now, &self.view) {
            self.send_indirect_probes(&probe, &helpers, out);
        }
        if now >= self.exchange.next_member_check {
            self.exchange.next_member_check = now + MEMBER_CHECK_INTERVAL;
            self.check_members(now, out);
        }
    }

    /// Runs the periodic work that iterates over all members.
    pub(super) fn check_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        let updates = self.detector.detect_failures(now, &mut self.view);
        for update in &updates {
            self.dissemination.push(*update, self.view.len());
        }
        if !updates.is_empty() {
            self.apply_view_change(now);
        }
        let period = self.options.membership.probe_period;
        self.exchange
            .relayed_probes
            .retain(|_, e| now.since(e.sent_at) < period);
        self.refresh_member_list(now, out);
        self.view
            .evict_dead(now, self.options.membership.tombstone_ttl);
        self.end_isolation(now);
        self.advance_phase(now, out);
        self.update_store_watch(out);
    }

    /// Requests other members to probe a member whose probe is unanswered.
    pub(super) fn send_indirect_probes(
        &mut self,
        probe: &Probe,
        helpers: &[MemberId],
        out: &mut Vec<Action>,
    ) {
        for &helper in helpers {
            let request = Message::IndirectProbeRequest {
                member: probe.member,
                sequence: probe.sequence,
            };
            self.send(helper, request, out);
        }
    }

    /// Recomputes everything that is derived from the membership view: owners,
    /// next owners, the agreement's members, and the assignment of probes.
    pub(super) fn apply_view_change(&mut self, now: Instant) {
        let owners = self.view.iter().filter(|m| m.owns_buckets());
        let owners: Vec<MemberId> = owners.map(|m| m.record.id).collect();
        let me = self.view.me();
        let gained = self
            .recovery
            .update_owners(now, &mut self.slots, &owners, me);
        let me = self.view.me();
        let joining = self.phase() == Phase::Joining;
        let active = self.view.iter().filter(|m| m.is_active());
        let mut next: Vec<MemberId> = active.map(|m| m.record.id).collect();
        if joining && !self.exchange.is_isolated(self.stale_since) {
            next.push(me);
        }
        self.recovery.update_next(&next);
        self.exchange.agreement_order = self
            .view
            .iter()
            .filter(|m| m.reachable() && m.record.incarnation > 0)
            .map(|m| m.record.id)
            .collect();
        self.exchange.agreement_order.sort_unstable();
        self.exchange.view_digest = self.view.digest();
        self.fetch_exceptions(now, gained);
        self.assign_probes(now);
    }
}

impl PeerExchange {
    /// Returns whether no message has arrived since this member's state became
    /// stale; false if it is not stale.
    pub(super) fn is_isolated(&self, stale_since: Option<Instant>) -> bool {
        stale_since.is_some_and(|since| self.last_message_at.is_none_or(|at| at < since))
    }
}

/// Returns the sender's record from the gossip of a message, if it has one.
fn sender_record(from: MemberId, message: &Message) -> Option<&MemberUpdate> {
    match message {
        Message::Probe { gossip, .. } | Message::ProbeAnswer { gossip, .. } => {
            gossip.members.iter().find(|m| m.id == from)
        }
        _ => None,
    }
}
