//! The keys of a store, now and before.

use std::collections::BTreeMap;

/// One change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub revision: u64,
}

/// All changes since the start.
#[derive(Debug, Clone, Default)]
pub struct History {
    entries: Vec<Entry>,
    compacted: u64,
}

impl History {
    /// Writes or removes a key; returns the revision.
    pub fn change(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let revision = self.revision() + 1;
        self.entries.push(Entry {
            key: key.to_owned(),
            value,
            revision,
        });
        revision
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> u64 {
        self.entries.last().map_or(0, |entry| entry.revision)
    }

    /// Forgets how the present state came about.
    pub fn compact(&mut self) {
        self.compacted = self.revision();
    }

    /// Returns the changes after a revision, or `None` if they are forgotten.
    pub fn after(&self, revision: u64, prefix: &str) -> Option<Vec<&Entry>> {
        let later = self
            .entries
            .iter()
            .filter(|entry| entry.revision > revision);
        (revision >= self.compacted).then(|| {
            later
                .filter(|entry| entry.key.starts_with(prefix))
                .collect()
        })
    }

    /// Returns the keys as of a revision.
    pub fn as_of(&self, revision: u64, prefix: &str) -> Vec<&Entry> {
        let mut state = BTreeMap::new();
        for entry in &self.entries {
            if entry.revision <= revision && entry.key.starts_with(prefix) {
                state.insert(&entry.key, entry);
            }
        }
        let written = state.into_values().filter(|entry| entry.value.is_some());
        written.collect()
    }
}
