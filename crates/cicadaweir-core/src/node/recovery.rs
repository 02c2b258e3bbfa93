//! Ownership transfer: fetching exceptions before and after a slot changes its
//! owner.
//!
//! The owner of a slot records every flow that it places on another target than
//! the base generation's; such a flow is called an exception. A member that is
//! about to own a slot, because it joins or because the owner leaves, fetches
//! the slot's exceptions in advance. Once it owns the slot, it fetches them
//! again with a take-over request: from the previous owner if that is reachable,
//! or else from the other members, which remember the flows that they forwarded.
//!
//! Membership views differ briefly after a change. The take-over request is
//! therefore sent after [`VIEW_CONVERGENCE_TIME`]. Until the previous owner has
//! answered it, the new owner relays to the previous one, which alone decides.
//! After its answer, the previous owner relays packets that still reach it to
//! the new one. If the previous owner is unreachable, a packet of an unknown
//! flow is not placed until the members that may know the flow were queried.

use indexmap::{IndexMap, IndexSet};

use crate::{
    membership::{SLOTS, SlotTable, slot_of},
    message::{FlowException, Message},
    placement,
    prelude::*,
};

use super::{Guard, Node, ambiguous::AmbiguousSlots, transfers::Transfer};

/// The interval between two requests for the same exceptions.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long the views of members may differ after a change.
pub(super) const VIEW_CONVERGENCE_TIME: Duration = Duration::from_millis(1_200);

/// The time after a change of owner at which the transfer counts as finished.
pub(super) const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(8);

/// The number of unanswered requests after which a fetch is abandoned.
const MAX_FETCH_ATTEMPTS: u32 = 4;

/// A fetch of exceptions from one member.
#[derive(Debug, Clone)]
struct Fetch {
    slots: IndexSet<u16>,
    not_before: Instant,
    /// When the last request was sent; absent before the first.
    requested_at: Option<Instant>,
    attempts: u32,
}

/// The state of ownership transfer.
#[derive(Debug, Clone, Default)]
pub(super) struct Recovery {
    /// The future owners of slots: after the leaving members have left and, if this
    /// member is joining, after it has become active.
    pub next_slots: SlotTable,
    /// Fetched exceptions, by flow hash.
    pub exceptions: IndexMap<u64, TargetKey>,
    /// Keyed by the queried member and whether the request is a take-over.
    fetches: IndexMap<(MemberId, bool), Fetch>,
    /// Slots of which exceptions may be missing here, and the members that know
    /// them.
    incomplete: IndexMap<u16, Vec<MemberId>>,
    /// Slots that this member recently gained, with the previous owner.
    pub gained_slots: IndexMap<u16, (MemberId, Instant)>,
    /// Slots that this member recently lost, and when.
    pub lost_slots: IndexMap<u16, Instant>,
    /// Slots for which this member has answered another member's take-over
    /// request, with that member and the time. They override the view.
    pub taken_slots: IndexMap<u16, (MemberId, Instant)>,
    pub transfers: Vec<Transfer>,
    /// Members that have received all exceptions they requested.
    pub served_members: IndexSet<MemberId>,
    pub ambiguous: AmbiguousSlots,
    /// Bytes that may be spent on exceptions now.
    pub budget: f64,
    pub budget_refilled_at: Instant,
}

/// A slot of which this member has just become the owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct GainedSlot {
    slot: u16,
    /// The previous owner, if there was one.
    previous_owner: Option<MemberId>,
}

impl Recovery {
    /// Returns the target of a flow among the fetched exceptions.
    pub fn fetched_target(&self, flow_hash: u64) -> Option<TargetKey> {
        self.exceptions.get(&flow_hash).copied()
    }

    /// Returns whether exceptions of a slot may be missing here.
    pub fn is_incomplete(&self, slot: u16) -> bool {
        self.incomplete.contains_key(&slot)
    }

    /// Returns the members that know the exceptions of an incomplete slot;
    /// absent if the slot is complete.
    pub fn sources_of(&self, slot: u16) -> Option<&[MemberId]> {
        self.incomplete.get(&slot).map(Vec::as_slice)
    }

    /// Returns whether exceptions are still being fetched.
    pub fn is_fetching(&self) -> bool {
        !self.fetches.is_empty()
    }

    /// Updates the owners of slots; returns the slots that `me` gained.
    pub fn update_owners(
        &mut self,
        now: Instant,
        slots: &mut SlotTable,
        owners: &[MemberId],
        me: MemberId,
    ) -> Vec<GainedSlot> {
        let before: Vec<Option<MemberId>> = (0..SLOTS as u16).map(|s| slots.owner(s)).collect();
        if !slots.update(owners.iter().copied()) {
            return Vec::new();
        }
        let recent = |at: Instant| now.since(at) < TAKE_OVER_TIMEOUT;
        self.gained_slots.retain(|_, (_, at)| recent(*at));
        self.lost_slots.retain(|_, at| recent(*at));
        self.taken_slots.retain(|_, (_, at)| recent(*at));
        for slot in 0..SLOTS as u16 {
            let (old, new) = (before[usize::from(slot)], slots.owner(slot));
            if old == Some(me) && new != old {
                self.lost_slots.insert(slot, now);
            }
            if let (Some(old), true) = (old, new == Some(me) && old != new) {
                self.gained_slots.insert(slot, (old, now));
                self.lost_slots.swap_remove(&slot);
                self.taken_slots.swap_remove(&slot);
            }
        }
        (0..SLOTS as u16)
            .filter(|&s| slots.owner(s) == Some(me) && before[usize::from(s)] != Some(me))
            .map(|slot| GainedSlot {
                slot,
                previous_owner: before[usize::from(slot)],
            })
            .collect()
    }

    /// Drops all recently lost slots, for which this member would otherwise
    /// still decide. Called after the other members considered it dead.
    pub fn clear_lost(&mut self) {
        self.lost_slots.clear();
    }

    /// Updates the future owners of slots.
    pub fn update_next(&mut self, owners: &[MemberId]) {
        self.next_slots.update(owners.iter().copied());
    }

    /// Schedules a fetch of a slot's exceptions ahead of its transfer.
    fn fetch(&mut self, from: MemberId, slot: u16) {
        self.fetch_at(from, slot, false, Instant::START);
    }

    /// Adds a slot to the fetch from a member, not before the given time.
    fn fetch_at(&mut self, from: MemberId, slot: u16, take_over: bool, not_before: Instant) {
        let fetch = self.fetches.entry((from, take_over)).or_insert(Fetch {
            slots: IndexSet::new(),
            not_before,
            requested_at: None,
            attempts: 0,
        });
        fetch.not_before = fetch.not_before.max(not_before);
        if fetch.slots.insert(slot) {
            fetch.requested_at = None;
            fetch.attempts = 0;
        }
    }

    /// Ends a fetch. Slots without any other take-over fetch are then complete.
    fn end_fetch(&mut self, from: MemberId, take_over: bool) {
        if self.fetches.swap_remove(&(from, take_over)).is_none() {
            return;
        }
        let take_overs = || self.fetches.iter().filter(|(key, _)| key.1);
        let still_fetched = |slot: &u16| take_overs().any(|(_, f)| f.slots.contains(slot));
        self.incomplete.retain(|slot, _| still_fetched(slot));
    }
}

impl Node {
    /// Schedules fetches of exceptions for slots that this member has gained and
    /// for slots that it is about to gain.
    pub(super) fn fetch_exceptions(&mut self, now: Instant, gained: Vec<GainedSlot>) {
        let me = self.view.me();
        for GainedSlot {
            slot,
            previous_owner,
        } in gained
        {
            if !self.recovery.ambiguous.contains(slot) || !self.guard_enabled(Guard::TakeOver) {
                continue;
            }
            let sources = self.exception_sources(previous_owner);
            for &from in &sources {
                let not_before = now + VIEW_CONVERGENCE_TIME;
                self.recovery.fetch_at(from, slot, true, not_before);
            }
            if !sources.is_empty() {
                self.recovery.incomplete.insert(slot, sources);
            }
        }
        let ambiguous: Vec<u16> = self.recovery.ambiguous.iter().collect();
        for slot in ambiguous {
            let owner = self.slots.owner(slot);
            let gains = self.recovery.next_slots.owner(slot) == Some(me) && owner != Some(me);
            if let (true, Some(owner)) = (gains, owner) {
                self.prefetch(owner, slot);
            }
        }
    }

    /// Schedules a fetch of a slot's exceptions from its current owner.
    fn prefetch(&mut self, owner: MemberId, slot: u16) {
        if self.is_reachable(owner) {
            self.recovery.fetch(owner, slot);
        }
    }

    /// Returns the members to fetch a slot's exceptions from: its previous
    /// owner, or if that is unreachable, members that may have forwarded its
    /// flows.
    fn exception_sources(&self, previous_owner: Option<MemberId>) -> Vec<MemberId> {
        match previous_owner.filter(|&id| self.is_reachable(id)) {
            Some(owner) => vec![owner],
            None => self.lookup_peers().into_iter().collect(),
        }
    }

    /// Sends due requests and the next messages of running transfers.
    pub(super) fn tick_recovery(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.refill_budget(now);
        self.send_fetches(now, out);
        for at in (0..self.recovery.transfers.len()).rev() {
            let mut transfer = self.recovery.transfers.swap_remove(at);
            if !self.advance_transfer(&mut transfer, out) {
                self.recovery.transfers.push(transfer);
            }
        }
    }

    /// Sends due requests; ends fetches that have failed.
    fn send_fetches(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut ended = Vec::new();
        let mut requests = Vec::new();
        for (&(from, take_over), fetch) in &mut self.recovery.fetches {
            let pending = |at: Instant| now.since(at) < FETCH_RETRY_INTERVAL;
            if now < fetch.not_before || fetch.requested_at.is_some_and(pending) {
                continue;
            }
            let reachable = self.view.get(from).is_some_and(|m| m.reachable());
            if !reachable || fetch.attempts >= MAX_FETCH_ATTEMPTS {
                ended.push((from, take_over));
                continue;
            }
            fetch.requested_at = Some(now);
            fetch.attempts += 1;
            let mut slots: Vec<u16> = fetch.slots.iter().copied().collect();
            slots.sort_unstable();
            requests.push((from, slots, take_over));
        }
        for (from, take_over) in ended {
            self.recovery.end_fetch(from, take_over);
        }
        for (to, slots, take_over) in requests {
            let request = Message::ExceptionsRequest { slots, take_over };
            self.send(to, request, out);
        }
    }

    /// Merges received exceptions, except those of unknown targets, and ends the
    /// fetch after the last message.
    pub(super) fn merge_exceptions(
        &mut self,
        from: MemberId,
        flows: Vec<FlowException>,
        last: bool,
        take_over: bool,
    ) {
        let targets = self.targets.len();
        let known = flows
            .into_iter()
            .filter(|f| (f.target.0 as usize) < targets);
        let pairs = known.map(|f| (f.flow_hash, f.target));
        self.recovery.exceptions.extend(pairs);
        if last {
            self.recovery.end_fetch(from, take_over);
        }
    }

    /// Returns whether every member that will own one of this member's
    /// ambiguous slots has fetched its exceptions.
    pub(super) fn successors_have_exceptions(&self) -> bool {
        let me = self.view.me();
        self.recovery
            .ambiguous
            .iter()
            .filter(|&slot| self.slots.owner(slot) == Some(me))
            .filter_map(|slot| self.recovery.next_slots.owner(slot))
            .all(|id| self.recovery.served_members.contains(&id))
    }

    /// Recomputes which slots contain ambiguous buckets of a service. Without
    /// any ambiguous slot, all fetched exceptions are dropped.
    pub(super) fn refresh_ambiguous_slots(&mut self, key: ServiceKey) {
        let service = self.catalog.service(key);
        let mut slots = Vec::new();
        if service.has_ambiguity() {
            let buckets = 0..placement::BUCKETS as u16;
            let ambiguous = buckets.filter(|&b| service.is_ambiguous(b));
            slots.extend(ambiguous.map(|b| slot_of(service.seed, b)));
        }
        self.recovery.ambiguous.replace(key, slots);
        if self.recovery.ambiguous.is_empty() {
            self.recovery.exceptions.clear();
        }
    }
}
