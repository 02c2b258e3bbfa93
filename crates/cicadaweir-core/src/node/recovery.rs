//! Exceptions: fetched before and after ownership of a slot moves.
//!
//! The owner of a slot records every flow that it places away from the base
//! generation. A member that is about to own a slot, because it joins or
//! because the owner leaves, fetches these exceptions beforehand; once it owns
//! the slot it takes over: it fetches again, from the last owner if that one
//! answers, or else from the others, which remember what they forwarded.
//!
//! The members' views differ for a moment after a change. The take-over
//! therefore waits for [`VIEW_SETTLES`], and until the last owner has answered
//! it, the new one relays to the last one, which alone decides. Once the last
//! owner has answered, it relays whatever still comes to the new one. If the
//! last owner is gone, a packet of an unknown flow is not guessed: those who
//! may know are asked.

use indexmap::{IndexMap, IndexSet};

use crate::{
    membership::{SLOTS, SlotTable, slot_of},
    message::{FlowException, Message},
    placement,
    prelude::*,
};

use super::{Guard, Node, ambiguous::AmbiguousSlots, transfers::Transfer};

/// The time between two requests for the same exceptions.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long the members' views may differ after a change.
pub(super) const VIEW_CONVERGENCE_TIME: Duration = Duration::from_millis(1_200);

/// How long a change of owner may take to be carried through.
pub(super) const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Requests for the same exceptions before they are given up.
const MAX_FETCH_ATTEMPTS: u32 = 4;

/// Exceptions that are wanted from one member.
#[derive(Debug, Clone)]
struct Fetch {
    slots: IndexSet<u16>,
    not_before: Instant,
    requested_at: Option<Instant>,
    attempts: u32,
}

/// The state of fetching and sending exceptions.
#[derive(Debug, Clone, Default)]
pub(super) struct Recovery {
    pub next_slots: SlotTable,
    pub exceptions: IndexMap<u64, TargetKey>,
    /// By member, and whether it is a take-over.
    fetches: IndexMap<(MemberId, bool), Fetch>,
    /// Slots whose exceptions may be missing here, with those who know them.
    incomplete: IndexMap<u16, Vec<MemberId>>,
    /// Slots that came to this member, with their last owners.
    pub gained_slots: IndexMap<u16, (MemberId, Instant)>,
    /// Slots that this member owned before, and since when it does not.
    pub lost_slots: IndexMap<u16, Instant>,
    /// Slots that another member has taken over, whatever the view says.
    pub taken_slots: IndexMap<u16, (MemberId, Instant)>,
    pub transfers: Vec<Transfer>,
    pub served_members: IndexSet<MemberId>,
    pub ambiguous: AmbiguousSlots,
    pub budget: f64,
    pub budget_refilled_at: Instant,
}

/// A slot that this member owns now and another one owned before.
#[derive(Debug, Clone, Copy)]
pub(super) struct Acquired {
    slot: u16,
    before: Option<MemberId>,
}

impl Recovery {
    /// Returns the target of a flow among the fetched exceptions.
    pub fn handed_over(&self, flow_hash: u64) -> Option<TargetKey> {
        self.exceptions.get(&flow_hash).copied()
    }

    /// Returns whether exceptions of a slot may be missing here.
    pub fn is_incomplete(&self, slot: u16) -> bool {
        self.incomplete.contains_key(&slot)
    }

    /// Returns who knows the exceptions of an incomplete slot.
    pub fn sources_of(&self, slot: u16) -> Option<&[MemberId]> {
        self.incomplete.get(&slot).map(Vec::as_slice)
    }

    /// Returns whether exceptions are still being fetched.
    pub fn is_fetching(&self) -> bool {
        !self.fetches.is_empty()
    }

    /// Brings the owners up to date; returns the slots that came to `me`.
    pub fn update_owners(
        &mut self,
        now: Instant,
        slots: &mut SlotTable,
        owners: &[MemberId],
        me: MemberId,
    ) -> Vec<Acquired> {
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
            .map(|slot| Acquired {
                slot,
                before: before[usize::from(slot)],
            })
            .collect()
    }

    /// Gives up at once what this member owned before, as after a time in
    /// which the others had taken it for dead.
    pub fn clear_lost(&mut self) {
        self.lost_slots.clear();
    }

    /// Brings the future owners up to date.
    pub fn update_next(&mut self, owners: &[MemberId]) {
        self.next_slots.update(owners.iter().copied());
    }

    fn fetch(&mut self, from: MemberId, slot: u16) {
        self.fetch_at(from, slot, false, Instant::START);
    }

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

    /// Ends a fetch; slots that nobody is asked for any more are complete.
    fn end_fetch(&mut self, from: MemberId, take_over: bool) {
        if self.fetches.swap_remove(&(from, take_over)).is_none() {
            return;
        }
        let take_overs = || self.fetches.iter().filter(|(key, _)| key.1);
        let wanted = |slot: &u16| take_overs().any(|(_, f)| f.slots.contains(slot));
        self.incomplete.retain(|slot, _| wanted(slot));
    }
}

impl Node {
    /// Fetches what is missing for slots that came to this member, and what
    /// will be missing for slots that are about to come.
    pub(super) fn fetch_exceptions(&mut self, now: Instant, acquired: Vec<Acquired>) {
        let me = self.view.me();
        for Acquired { slot, before } in acquired {
            if !self.recovery.ambiguous.contains(slot) || !self.guard_enabled(Guard::TakeOver) {
                continue;
            }
            let sources = self.exception_sources(before);
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
            let comes = self.recovery.next_slots.owner(slot) == Some(me) && owner != Some(me);
            if let (true, Some(owner)) = (comes, owner) {
                self.prefetch(owner, slot);
            }
        }
    }

    fn prefetch(&mut self, owner: MemberId, slot: u16) {
        if self.is_reachable(owner) {
            self.recovery.fetch(owner, slot);
        }
    }

    /// Returns whom to ask for the exceptions of a slot: its last owner, or
    /// if that one is gone, those who may have forwarded its flows.
    fn exception_sources(&self, before: Option<MemberId>) -> Vec<MemberId> {
        match before.filter(|&id| self.is_reachable(id)) {
            Some(owner) => vec![owner],
            None => self.lookup_peers().into_iter().collect(),
        }
    }

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

    fn send_fetches(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut ended = Vec::new();
        let mut requests = Vec::new();
        for (&(from, take_over), fetch) in &mut self.recovery.fetches {
            let waiting = |at: Instant| now.since(at) < FETCH_RETRY_INTERVAL;
            if now < fetch.not_before || fetch.requested_at.is_some_and(waiting) {
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
            let wanted = Message::ExceptionsWanted { slots, take_over };
            self.send(to, wanted, out);
        }
    }

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

    /// Recomputes which slots hold ambiguous buckets of a service.
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
