//! What a mirror asks and learns.

use crate::time::Duration;

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read keys that come after this one.
    Range {
        /// The last key of the page before, if there was one.
        after: Option<String>,
        /// Whether an answer that is seconds old will do.
        stale: bool,
    },
    /// Wait for changes.
    Watch {
        /// The revision after which changes are wanted.
        after: u64,
        /// How long the store may wait.
        wait: Duration,
    },
    /// Wait without a call, then report [`super::Mirror::end_backoff`].
    Backoff(Duration),
}

/// One key as the store shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of this change.
    pub revision: u64,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// A page of keys.
    Page {
        /// The keys.
        items: Vec<Item>,
        /// Whether more follow.
        has_more: bool,
        /// The store's revision.
        as_of: u64,
    },
    /// Changes; none if the wait was over.
    Events {
        /// The changes in order.
        items: Vec<Item>,
        /// Where to continue.
        as_of: u64,
    },
    /// The store no longer has the history that was asked for.
    Compacted,
    /// No answer, or one that can't be used.
    Failed,
}

/// What has changed in the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A key has a new value.
    Written {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// Its revision.
        revision: u64,
    },
    /// A key has gone.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal, or of the read that missed it.
        revision: u64,
    },
    /// The copy is complete up to some state of the store, seconds old maybe.
    Complete,
    /// The copy is complete up to the store's state of a moment ago.
    Current,
}
