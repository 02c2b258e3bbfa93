//! The key-value service's state: versions, compare-and-swap, leases.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// The largest value, in bytes.
const MOST_BYTES: usize = 1 << 20;

/// What a write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// The value was written under this version.
    Written(u64),
    /// The key has another version.
    Conflict(u64),
    /// The value is too large.
    TooLarge,
    /// The lease does not exist, or has lapsed.
    NoLease,
}

#[derive(Debug, Clone)]
struct Item {
    version: u64,
    value: Vec<u8>,
    lease: Option<u64>,
}

/// The state of the key-value service.
#[derive(Debug, Default)]
pub struct Kv {
    items: IndexMap<String, Item>,
    leases: IndexMap<u64, (Instant, Duration)>,
    last_version: u64,
    last_lease: u64,
}

impl Kv {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<(u64, &[u8])> {
        let item = self.items.get(key)?;
        Some((item.version, &item.value))
    }

    /// Writes a key if it has the expected version, 0 for none.
    pub fn put(&mut self, key: &str, expected: u64, value: Vec<u8>, lease: Option<u64>) -> Put {
        let version = self.items.get(key).map_or(0, |i| i.version);
        if version != expected {
            return Put::Conflict(version);
        }
        if value.len() > MOST_BYTES {
            return Put::TooLarge;
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Put::NoLease;
        }
        self.last_version += 1;
        let version = self.last_version;
        let item = Item {
            version,
            value,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        Put::Written(version)
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Instant, span: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (now + span, span));
        self.last_lease
    }

    /// Prolongs a lease; returns whether it still stood.
    pub fn keep_alive(&mut self, now: Instant, id: u64) -> bool {
        let Some((until, span)) = self.leases.get_mut(&id) else {
            return false;
        };
        *until = now + *span;
        true
    }

    /// Ends lapsed leases and removes their keys.
    pub fn lapse(&mut self, now: Instant) {
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        self.items
            .retain(|_, i| i.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}
