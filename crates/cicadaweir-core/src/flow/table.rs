//! The bounded table of remembered flows.
//!
//! Entries lie in one arena that never grows past its bound; an index of
//! 32-bit positions finds them by keyed hash, and the full key is compared
//! before an entry is believed. A few entries are examined on every tick, so
//! expiry costs the same at every moment.

use hashbrown::HashTable;

use crate::{
    catalog::{AddressKey, TargetKey},
    packet::{Direction, PacketInfo, PacketKind},
    time::{Duration, Instant},
};

use super::{Endpoint, FlowEntry, FlowFlags, FlowState};

/// The unit in which entries hold the times of their last packets.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// The silence of a target that was never seen.
const NEVER_SEEN: Duration = Duration::from_secs(u32::MAX as u64 / 1_000);

/// How lately a caller that still repeats a segment sent its last copy.
const STILL_REPEATING: Duration = Duration::from_secs(6);

/// How long an entry outlives the last packet of its flow, by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryOptions {
    /// For openings without an answer.
    pub opening: Duration,
    /// For open TCP flows.
    pub established: Duration,
    /// For flows that one side has closed.
    pub half_closed: Duration,
    /// For flows that both sides have closed, or that were reset.
    pub closed: Duration,
    /// For UDP.
    pub datagram: Duration,
}

impl Default for ExpiryOptions {
    fn default() -> Self {
        Self {
            opening: Duration::from_secs(75),
            established: Duration::from_secs(4 * 3600),
            half_closed: Duration::from_secs(300),
            closed: Duration::from_secs(10),
            datagram: Duration::from_secs(60),
        }
    }
}

/// The table holds as many flows as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableFull;

/// The flows that one entry VM remembers.
#[derive(Debug, Clone)]
pub struct FlowTable {
    entries: Vec<Option<FlowEntry>>,
    free: Vec<u32>,
    index: HashTable<u32>,
    bound: usize,
    hand: usize,
    expiry: ExpiryOptions,
}

impl FlowTable {
    /// Makes an empty table that holds at most `bound` flows.
    pub fn new(bound: usize, expiry: ExpiryOptions) -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
            index: HashTable::new(),
            bound,
            hand: 0,
            expiry,
        }
    }

    /// Returns the number of remembered flows.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the bytes that the table has reserved.
    pub fn allocated_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Option<FlowEntry>>()
            + self.free.capacity() * size_of::<u32>()
            + self.index.allocation_size()
    }

    /// Reserves the memory for all entries at once.
    pub fn reserve_all(&mut self) {
        let entries = &mut self.entries;
        entries.reserve_exact(self.bound.saturating_sub(entries.len()));
        let more = self.bound.saturating_sub(self.index.len());
        self.index.reserve(more, |&at| stored_hash(entries, at));
    }

    /// Finds the entry of a flow.
    pub fn get(&self, hash: u64, caller: &Endpoint, address: AddressKey) -> Option<&FlowEntry> {
        let at = self.position(hash, caller, address)?;
        self.entries[at as usize].as_ref()
    }

    /// Finds the entry of a flow, to change it.
    pub fn get_mut(
        &mut self,
        hash: u64,
        caller: &Endpoint,
        address: AddressKey,
    ) -> Option<&mut FlowEntry> {
        let at = self.position(hash, caller, address)?;
        self.entries[at as usize].as_mut()
    }

    fn position(&self, hash: u64, caller: &Endpoint, address: AddressKey) -> Option<u32> {
        self.index
            .find(hash, |&at| {
                let e = self.entries[at as usize].as_ref();
                e.is_some_and(|e| {
                    e.caller_ip == caller.ip
                        && e.caller_port == caller.port
                        && e.address() == address
                })
            })
            .copied()
    }

    /// Remembers a flow that is not in the table.
    ///
    /// # Errors
    ///
    /// [`TableFull`] if the bound is reached; nothing is evicted.
    pub fn insert(
        &mut self,
        now: Instant,
        hash: u64,
        caller: &Endpoint,
        address: AddressKey,
        target: TargetKey,
        state: FlowState,
        flags: FlowFlags,
    ) -> Result<&mut FlowEntry, TableFull> {
        let at = self.vacant_position()?;
        let entry = FlowEntry {
            flow_hash: hash,
            caller_ip: caller.ip,
            caller_port: caller.port,
            address: address.0 as u16,
            target,
            caller_seen: ticks(now),
            target_seen: ticks(now),
            sequence: 0,
            asked: 0,
            state,
            flags,
        };
        self.entries[at as usize] = Some(entry);
        let entries = &self.entries;
        self.index
            .insert_unique(hash, at, |&at| stored_hash(entries, at));
        Ok(self.entries[at as usize].as_mut().expect("just filled"))
    }

    fn vacant_position(&mut self) -> Result<u32, TableFull> {
        if let Some(at) = self.free.pop() {
            return Ok(at);
        }
        if self.entries.len() >= self.bound {
            return Err(TableFull);
        }
        self.entries.push(None);
        Ok(self.entries.len() as u32 - 1)
    }

    /// Records one packet on an entry.
    pub fn touch(entry: &mut FlowEntry, now: Instant, info: &PacketInfo) {
        let (kind, from) = (info.kind, info.direction);
        let closed_from = if entry.flags.contains(FlowFlags::CALLER_CLOSED) {
            Some(Direction::ToTarget)
        } else if entry.flags.contains(FlowFlags::TARGET_CLOSED) {
            Some(Direction::ToCaller)
        } else {
            None
        };
        entry.state = entry.state.next(kind, from, closed_from);
        match from {
            Direction::ToTarget => {
                entry.caller_seen = ticks(now);
                if kind == PacketKind::Data {
                    note_data(entry, now, info.sequence);
                }
                if kind == PacketKind::Closing {
                    entry.flags.insert(FlowFlags::CALLER_CLOSED);
                }
            }
            Direction::ToCaller => {
                entry.target_seen = ticks(now);
                entry.flags.remove(FlowFlags::UNANSWERED);
                entry.flags.remove(FlowFlags::RETRANSMITTED);
                entry.flags.insert(FlowFlags::ANSWERED);
                if kind == PacketKind::Closing {
                    entry.flags.insert(FlowFlags::TARGET_CLOSED);
                }
            }
        }
    }

    /// Finds an entry by its keyed hash alone, for members that ask about a
    /// flow by hash.
    pub fn get_by_hash(&self, hash: u64) -> Option<&FlowEntry> {
        let at = self.position_by_hash(hash)?;
        self.entries[at as usize].as_ref()
    }

    /// Finds an entry by its keyed hash alone, to change it.
    pub fn get_by_hash_mut(&mut self, hash: u64) -> Option<&mut FlowEntry> {
        let at = self.position_by_hash(hash)?;
        self.entries[at as usize].as_mut()
    }

    fn position_by_hash(&self, hash: u64) -> Option<u32> {
        let same = |&at: &u32| stored_hash(&self.entries, at) == hash;
        self.index.find(hash, same).copied()
    }

    /// Records that the target is alive although its packets do not pass
    /// here.
    pub fn record_target_alive(entry: &mut FlowEntry, now: Instant) {
        entry.target_seen = ticks(now);
        entry.flags.remove(FlowFlags::UNANSWERED);
        entry.flags.remove(FlowFlags::RETRANSMITTED);
    }

    /// Forgets one flow.
    pub fn remove(&mut self, hash: u64, caller: &Endpoint, address: AddressKey) {
        if let Some(at) = self.position(hash, caller, address) {
            self.remove_at(at);
        }
    }

    fn remove_at(&mut self, at: u32) {
        let hash = stored_hash(&self.entries, at);
        if let Ok(found) = self.index.find_entry(hash, |&other| other == at) {
            found.remove();
            self.entries[at as usize] = None;
            self.free.push(at);
        }
    }

    /// Examines up to `count` entries and forgets the expired ones, each of
    /// which is handed to `forgotten`.
    pub fn sweep(&mut self, now: Instant, count: usize, mut forgotten: impl FnMut(&FlowEntry)) {
        for _ in 0..count.min(self.entries.len()) {
            if self.hand >= self.entries.len() {
                self.hand = 0;
            }
            let at = self.hand;
            self.hand += 1;
            let expired = self.entries[at].filter(|e| self.is_expired(e, now));
            if let Some(entry) = expired {
                forgotten(&entry);
                self.remove_at(at as u32);
            }
        }
    }

    fn is_expired(&self, entry: &FlowEntry, now: Instant) -> bool {
        let limit = match entry.state {
            FlowState::Opening => self.expiry.opening,
            FlowState::Established => self.expiry.established,
            FlowState::HalfClosed => self.expiry.half_closed,
            FlowState::Closed => self.expiry.closed,
            FlowState::Datagram => self.expiry.datagram,
        };
        Self::idle(entry, now) > limit
    }

    /// Returns how long no packet of the flow was seen.
    pub fn idle(entry: &FlowEntry, now: Instant) -> Duration {
        let seen = entry.caller_seen.max(entry.target_seen);
        TICK.times(u64::from(ticks(now).saturating_sub(seen)))
    }

    /// Returns how long ago the caller sent the segment that it has repeated
    /// since without an answer that passed here; `None` if it has not repeated
    /// one, or has stopped.
    pub fn retransmitting_for(entry: &FlowEntry, now: Instant) -> Option<Duration> {
        let repeated = entry.flags.contains(FlowFlags::RETRANSMITTED);
        let last = TICK.times(u64::from(ticks(now).saturating_sub(entry.caller_seen)));
        let waited = (ticks(now) as u16).wrapping_sub(entry.asked);
        (repeated && last <= STILL_REPEATING).then(|| TICK.times(u64::from(waited)))
    }

    /// Returns how long no packet of the target has passed here; of a flow
    /// whose target was never seen here, the longest time there is.
    pub fn target_silence(entry: &FlowEntry, now: Instant) -> Duration {
        if !entry.flags.contains(FlowFlags::ANSWERED) {
            return NEVER_SEEN;
        }
        TICK.times(u64::from(ticks(now).saturating_sub(entry.target_seen)))
    }

    /// Iterates over all remembered flows.
    pub fn iter(&self) -> impl Iterator<Item = &FlowEntry> {
        self.entries.iter().flatten()
    }

    /// Iterates over the entries of a window of the arena; used to walk the
    /// table a part at a time.
    pub fn window(&self, start: usize, count: usize) -> impl Iterator<Item = &FlowEntry> {
        let end = (start + count).min(self.entries.len());
        self.entries[start.min(end)..end].iter().flatten()
    }

    /// Returns the number of positions that [`Self::window`] can walk.
    pub fn positions(&self) -> usize {
        self.entries.len()
    }
}

/// Notes a caller's data: the first that is unanswered, or its repetition.
fn note_data(entry: &mut FlowEntry, now: Instant, sequence: u32) {
    if !entry.flags.contains(FlowFlags::UNANSWERED) || entry.sequence != sequence {
        entry.flags.insert(FlowFlags::UNANSWERED);
        entry.flags.remove(FlowFlags::RETRANSMITTED);
        entry.asked = ticks(now) as u16;
        entry.sequence = sequence;
    } else {
        entry.flags.insert(FlowFlags::RETRANSMITTED);
    }
}

fn ticks(now: Instant) -> u32 {
    (now.as_micros() / TICK.as_micros()) as u32
}

fn stored_hash(entries: &[Option<FlowEntry>], at: u32) -> u64 {
    entries[at as usize]
        .as_ref()
        .map_or(0, FlowEntry::flow_hash)
}
