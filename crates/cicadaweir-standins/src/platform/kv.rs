//! The state of the key-value service: versions, compare-and-swap, leases.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// The maximum length of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutResult {
    /// The value was written; contains its new version.
    Written(u64),
    /// The key has another version than expected; contains the current one, 0 if
    /// the key does not exist.
    Conflict(u64),
    /// The value exceeds the maximum length.
    TooLarge,
    /// The lease does not exist or has expired.
    LeaseNotFound,
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
    /// Returns the version and value of a key, or `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<(u64, &[u8])> {
        let item = self.items.get(key)?;
        Some((item.version, &item.value))
    }

    /// Writes a key if its version is `expected`; 0 means that the key must not
    /// exist. The key is removed when `lease` expires.
    pub fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> PutResult {
        let version = self.items.get(key).map_or(0, |i| i.version);
        if version != expected {
            return PutResult::Conflict(version);
        }
        if value.len() > MAX_VALUE_BYTES {
            return PutResult::TooLarge;
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return PutResult::LeaseNotFound;
        }
        self.last_version += 1;
        let version = self.last_version;
        let item = Item {
            version,
            value,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        PutResult::Written(version)
    }

    /// Grants a lease with the given time to live and returns its id.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (now + ttl, ttl));
        self.last_lease
    }

    /// Renews a lease; returns false if it does not exist.
    pub fn keep_alive(&mut self, now: Instant, id: u64) -> bool {
        let Some((expires_at, ttl)) = self.leases.get_mut(&id) else {
            return false;
        };
        *expires_at = now + *ttl;
        true
    }

    /// Removes expired leases and their keys.
    pub fn expire_leases(&mut self, now: Instant) {
        self.leases.retain(|_, (expires_at, _)| *expires_at > now);
        let leases = &self.leases;
        self.items
            .retain(|_, i| i.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}
