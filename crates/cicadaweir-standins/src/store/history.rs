//! The change history of a store.

use std::collections::BTreeMap;

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub revision: u64,
}

/// All changes since the start of the store.
#[derive(Debug, Clone, Default)]
pub struct History {
    entries: Vec<Entry>,
    compacted_revision: u64,
}

impl History {
    /// Writes a key, or removes it if `value` is `None`; returns the new revision.
    pub fn change(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let revision = self.revision() + 1;
        self.entries.push(Entry {
            key: key.to_owned(),
            value,
            revision,
        });
        revision
    }

    /// Returns the latest revision, 0 before the first change.
    pub fn revision(&self) -> u64 {
        self.entries.last().map_or(0, |entry| entry.revision)
    }

    /// Makes all changes up to the latest revision unavailable to watches.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision();
    }

    /// Returns the changes of keys with the prefix that were made after a revision,
    /// or `None` if the history after that revision has been compacted.
    pub fn changes_after(&self, revision: u64, prefix: &str) -> Option<Vec<&Entry>> {
        let changes = self
            .entries
            .iter()
            .filter(|entry| entry.revision > revision);
        (revision >= self.compacted_revision).then(|| {
            changes
                .filter(|entry| entry.key.starts_with(prefix))
                .collect()
        })
    }

    /// Returns the latest change of each existing key with the prefix as of a
    /// revision, in key order.
    pub fn snapshot_at(&self, revision: u64, prefix: &str) -> Vec<&Entry> {
        let mut state = BTreeMap::new();
        for entry in &self.entries {
            if entry.revision <= revision && entry.key.starts_with(prefix) {
                state.insert(&entry.key, entry);
            }
        }
        let existing = state.into_values().filter(|entry| entry.value.is_some());
        existing.collect()
    }
}
