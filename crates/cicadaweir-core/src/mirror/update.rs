//! Calls that a mirror requests, their outcomes and the resulting updates.

use std::sync::Arc;

use crate::time::Duration;

/// A call that the driver makes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read one page of keys.
    Range {
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
        /// Whether the store may return data that is seconds old.
        stale: bool,
    },
    /// Wait for changes (long poll).
    Watch {
        /// The revision after which changes are returned.
        after: u64,
        /// The longest time that the store waits for a change.
        wait: Duration,
    },
    /// Wait without a call, then call [`super::Mirror::end_backoff`].
    Backoff(Duration),
}

/// A value in the store. Copies share the bytes.
pub type Value = Arc<[u8]>;

/// The state of one key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Value>,
    /// The revision of the key's latest change.
    pub revision: u64,
}

/// The outcome of a call, from the store or from another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// A page of keys.
    Page {
        /// The keys.
        items: Vec<Item>,
        /// Whether more pages follow.
        has_more: bool,
        /// The store's revision at the time of the read.
        as_of: u64,
    },
    /// Changes; empty if none arrived within the wait.
    Events {
        /// The changes in ascending order of revision.
        items: Vec<Item>,
        /// The revision after which the next watch starts.
        as_of: u64,
    },
    /// The requested history has been compacted; all keys must be read again.
    Compacted,
    /// No response, or an unusable one.
    Failed,
}

/// A change of the replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A key has a new value.
    Written {
        /// The key.
        key: String,
        /// The value.
        value: Value,
        /// Its revision.
        revision: u64,
    },
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal, or of the read that no longer found the
        /// key.
        revision: u64,
    },
    /// All keys have been read; the data may be seconds old.
    Complete,
    /// The replica matches a recent state of the store.
    Current,
}
