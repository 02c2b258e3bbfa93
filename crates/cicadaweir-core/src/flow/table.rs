//! The bounded flow table.
//!
//! Entries are stored in one vector with a fixed maximum length. A hash table of
//! 32-bit positions finds them by keyed hash; the full key is compared as well,
//! as hashes may collide. Each sweep examines a limited number of entries, so
//! the cost of expiry is spread evenly over time.

use hashbrown::HashTable;

use crate::{
    catalog::{AddressKey, TargetKey},
    packet::{Direction, PacketInfo, PacketKind},
    time::{Duration, Instant},
};

use super::{Endpoint, FlowEntry, FlowFlags, FlowState};

/// The resolution of the times stored in entries.
pub(super) const TIME_UNIT: Duration = Duration::from_millis(100);

/// The value that [`FlowTable::target_silence`] returns if no packet from the
/// target has been seen: the maximum whole seconds in a 32-bit number of
/// milliseconds.
const NEVER_SEEN: Duration = Duration::from_secs(u32::MAX as u64 / 1_000);

/// The maximum time since the last packet of a caller that counts as still
/// retransmitting.
const MAX_RETRANSMISSION_AGE: Duration = Duration::from_secs(6);

/// The time after the last packet of a flow at which its entry expires, by flow
/// state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryOptions {
    /// Flows of which only the caller's SYN has been seen.
    pub opening: Duration,
    /// Open TCP connections.
    pub established: Duration,
    /// TCP connections that one side has closed.
    pub half_closed: Duration,
    /// TCP connections that both sides have closed, or that were reset.
    pub closed: Duration,
    /// UDP flows.
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

/// The flow table has reached its maximum number of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableFull;

/// The flow table of an entry VM.
#[derive(Debug, Clone)]
pub struct FlowTable {
    entries: Vec<Option<FlowEntry>>,
    free: Vec<u32>,
    index: HashTable<u32>,
    max_flows: usize,
    sweep_position: usize,
    expiry: ExpiryOptions,
}

impl FlowTable {
    /// Creates an empty table for at most `max_flows` flows.
    pub fn new(max_flows: usize, expiry: ExpiryOptions) -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
            index: HashTable::new(),
            max_flows,
            sweep_position: 0,
            expiry,
        }
    }

    /// Returns the number of flows in the table.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the size of the table's allocations in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Option<FlowEntry>>()
            + self.free.capacity() * size_of::<u32>()
            + self.index.allocation_size()
    }

    /// Allocates the memory for the maximum number of flows.
    pub fn reserve_all(&mut self) {
        let entries = &mut self.entries;
        entries.reserve_exact(self.max_flows.saturating_sub(entries.len()));
        let additional = self.max_flows.saturating_sub(self.index.len());
        self.index
            .reserve(additional, |&at| stored_hash(entries, at));
    }

    /// Returns the entry of a flow.
    pub fn get(&self, hash: u64, caller: &Endpoint, address: AddressKey) -> Option<&FlowEntry> {
        let at = self.position(hash, caller, address)?;
        self.entries[at as usize].as_ref()
    }

    /// Returns the entry of a flow for modification.
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

    /// Adds a flow that must not be in the table yet.
    ///
    /// # Errors
    ///
    /// Returns [`TableFull`] if the table has its maximum number of entries; no
    /// entry is evicted.
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
            caller_seen: time_units(now),
            target_seen: time_units(now),
            sequence: 0,
            unanswered_since: 0,
            state,
            flags,
        };
        self.entries[at as usize] = Some(entry);
        let entries = &self.entries;
        self.index
            .insert_unique(hash, at, |&at| stored_hash(entries, at));
        Ok(self.entries[at as usize]
            .as_mut()
            .expect("entry was inserted above"))
    }

    fn vacant_position(&mut self) -> Result<u32, TableFull> {
        if let Some(at) = self.free.pop() {
            return Ok(at);
        }
        if self.entries.len() >= self.max_flows {
            return Err(TableFull);
        }
        self.entries.push(None);
        Ok(self.entries.len() as u32 - 1)
    }

    /// Updates an entry for a packet of its flow.
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
                entry.caller_seen = time_units(now);
                if kind == PacketKind::Data {
                    record_data(entry, now, info.sequence);
                }
                if kind == PacketKind::Closing {
                    entry.flags.insert(FlowFlags::CALLER_CLOSED);
                }
            }
            Direction::ToCaller => {
                entry.target_seen = time_units(now);
                entry.flags.remove(FlowFlags::UNANSWERED);
                entry.flags.remove(FlowFlags::RETRANSMITTED);
                entry.flags.insert(FlowFlags::ANSWERED);
                if kind == PacketKind::Closing {
                    entry.flags.insert(FlowFlags::TARGET_CLOSED);
                }
            }
        }
    }

    /// Returns an entry with a keyed hash, without comparing the flow's key. For
    /// lookups from other entry VMs, which identify a flow by its hash.
    pub fn get_by_hash(&self, hash: u64) -> Option<&FlowEntry> {
        let at = self.position_by_hash(hash)?;
        self.entries[at as usize].as_ref()
    }

    /// Returns an entry with a keyed hash for modification, without comparing
    /// the flow's key.
    pub fn get_by_hash_mut(&mut self, hash: u64) -> Option<&mut FlowEntry> {
        let at = self.position_by_hash(hash)?;
        self.entries[at as usize].as_mut()
    }

    fn position_by_hash(&self, hash: u64) -> Option<u32> {
        let has_hash = |&at: &u32| stored_hash(&self.entries, at) == hash;
        self.index.find(hash, has_hash).copied()
    }

    /// Records that the target responds, as reported by another entry VM through
    /// which its packets pass.
    pub fn record_target_alive(entry: &mut FlowEntry, now: Instant) {
        entry.target_seen = time_units(now);
        entry.flags.remove(FlowFlags::UNANSWERED);
        entry.flags.remove(FlowFlags::RETRANSMITTED);
    }

    /// Removes a flow.
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

    /// Examines up to `count` entries, continuing where the last call stopped,
    /// and removes the expired ones. `on_expired` is called with each of them.
    pub fn sweep(&mut self, now: Instant, count: usize, mut on_expired: impl FnMut(&FlowEntry)) {
        for _ in 0..count.min(self.entries.len()) {
            if self.sweep_position >= self.entries.len() {
                self.sweep_position = 0;
            }
            let at = self.sweep_position;
            self.sweep_position += 1;
            let expired = self.entries[at].filter(|e| self.is_expired(e, now));
            if let Some(entry) = expired {
                on_expired(&entry);
                self.remove_at(at as u32);
            }
        }
    }

    fn is_expired(&self, entry: &FlowEntry, now: Instant) -> bool {
        let timeout = match entry.state {
            FlowState::Opening => self.expiry.opening,
            FlowState::Established => self.expiry.established,
            FlowState::HalfClosed => self.expiry.half_closed,
            FlowState::Closed => self.expiry.closed,
            FlowState::Datagram => self.expiry.datagram,
        };
        Self::idle(entry, now) > timeout
    }

    /// Returns the time since the last packet of the flow, in either direction.
    pub fn idle(entry: &FlowEntry, now: Instant) -> Duration {
        let seen = entry.caller_seen.max(entry.target_seen);
        TIME_UNIT.times(u64::from(time_units(now).saturating_sub(seen)))
    }

    /// Returns the time since the caller first sent the data segment that it is
    /// retransmitting and to which no response has passed this entry VM, or
    /// `None` if the caller has not retransmitted a segment or has stopped.
    pub fn retransmitting_for(entry: &FlowEntry, now: Instant) -> Option<Duration> {
        let retransmitted = entry.flags.contains(FlowFlags::RETRANSMITTED);
        let since_last =
            TIME_UNIT.times(u64::from(time_units(now).saturating_sub(entry.caller_seen)));
        let elapsed = (time_units(now) as u16).wrapping_sub(entry.unanswered_since);
        (retransmitted && since_last <= MAX_RETRANSMISSION_AGE)
            .then(|| TIME_UNIT.times(u64::from(elapsed)))
    }

    /// Returns the time since the last packet from the target that passed this
    /// entry VM, or about 50 days if none has.
    pub fn target_silence(entry: &FlowEntry, now: Instant) -> Duration {
        if !entry.flags.contains(FlowFlags::ANSWERED) {
            return NEVER_SEEN;
        }
        TIME_UNIT.times(u64::from(time_units(now).saturating_sub(entry.target_seen)))
    }

    /// Iterates over all flows in the table.
    pub fn iter(&self) -> impl Iterator<Item = &FlowEntry> {
        self.entries.iter().flatten()
    }

    /// Iterates over the entries at up to `count` positions from `start` on, for
    /// scanning the table in several steps.
    pub fn window(&self, start: usize, count: usize) -> impl Iterator<Item = &FlowEntry> {
        let end = (start + count).min(self.entries.len());
        self.entries[start.min(end)..end].iter().flatten()
    }

    /// Returns the number of positions, vacant ones included, that
    /// [`Self::window`] can scan.
    pub fn positions(&self) -> usize {
        self.entries.len()
    }
}

/// Records a data segment from the caller, either as new unanswered data or as
/// its retransmission.
fn record_data(entry: &mut FlowEntry, now: Instant, sequence: u32) {
    if !entry.flags.contains(FlowFlags::UNANSWERED) || entry.sequence != sequence {
        entry.flags.insert(FlowFlags::UNANSWERED);
        entry.flags.remove(FlowFlags::RETRANSMITTED);
        entry.unanswered_since = time_units(now) as u16;
        entry.sequence = sequence;
    } else {
        entry.flags.insert(FlowFlags::RETRANSMITTED);
    }
}

/// Returns a time as a number of [`TIME_UNIT`]s since the start of the clock.
fn time_units(now: Instant) -> u32 {
    (now.as_micros() / TIME_UNIT.as_micros()) as u32
}

fn stored_hash(entries: &[Option<FlowEntry>], at: u32) -> u64 {
    entries[at as usize]
        .as_ref()
        .map_or(0, FlowEntry::flow_hash)
}
