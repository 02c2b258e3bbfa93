//! The store's content and recent changes, served to other entry VMs.

use std::collections::BTreeSet;

use hashbrown::HashMap;

use super::{Item, StoreResponse, Value};

/// The number of changed keys kept for followers that lag behind.
const MAX_RECENT_CHANGES: usize = 1_024;

/// The reason why the changes after a revision are unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryError {
    /// The log is not complete yet, or its revision is lower than the
    /// requested one.
    Behind,
    /// Some of the changes have been evicted.
    Compacted,
}

/// Values by key, with their revisions; absent for a key that was removed recently.
type Values = HashMap<String, (u64, Option<Value>)>;

/// All keys with their values, and which of them have changed last.
///
/// Of several changes of one key the last one alone is kept, as it leaves a follower in the
/// same state as all of them: the log holds no value beside those of the present keys,
/// however often they change.
#[derive(Debug, Default)]
pub struct ChangeLog {
    values: Values,
    /// The revisions and keys of the changes after `start`.
    recent: BTreeSet<(u64, String)>,
    /// The revision after which the kept changes begin.
    start: u64,
    revision: u64,
    complete: bool,
    /// The lowest revision and the values of the pages of the read in progress.
    reading: Option<(u64, Values)>,
}

impl ChangeLog {
    /// Applies a response from the store or from another entry VM.
    pub fn record(&mut self, response: &StoreResponse) {
        match response {
            StoreResponse::Page {
                items,
                has_more,
                as_of,
            } => self.apply_page(items, *has_more, *as_of),
            StoreResponse::Events { items, as_of } if self.complete => {
                self.apply_events(items, *as_of)
            }
            StoreResponse::Events { .. } | StoreResponse::Compacted | StoreResponse::Failed => {}
        }
    }

    /// Returns the revision up to which the log is complete; `None` before all
    /// keys have been read.
    pub fn revision(&self) -> Option<u64> {
        self.complete.then_some(self.revision)
    }

    /// Returns the changes after `revision`; none if it is the latest.
    ///
    /// # Errors
    ///
    /// Returns [`HistoryError`] if not all of these changes are available.
    pub fn changes_after(&self, revision: u64) -> Result<StoreResponse, HistoryError> {
        if !self.complete || revision > self.revision {
            return Err(HistoryError::Behind);
        }
        if revision < self.start {
            return Err(HistoryError::Compacted);
        }
        let later = self.recent.range((revision + 1, String::new())..);
        let items = later.filter_map(|(_, key)| self.item(key));
        Ok(StoreResponse::Events {
            items: items.collect(),
            as_of: self.revision,
        })
    }

    /// Returns all keys with their values as one page; `None` before all keys
    /// have been read.
    pub fn all(&self) -> Option<StoreResponse> {
        let present = self.values.iter().filter(|(_, (_, value))| value.is_some());
        let items = present.filter_map(|(key, _)| self.item(key));
        self.complete.then(|| StoreResponse::Page {
            items: items.collect(),
            has_more: false,
            as_of: self.revision,
        })
    }

    fn item(&self, key: &str) -> Option<Item> {
        let (revision, value) = self.values.get(key)?;
        Some(Item {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        })
    }

    fn apply_page(&mut self, items: &[Item], has_more: bool, as_of: u64) {
        if as_of < self.revision {
            self.reading = None;
            return;
        }
        let (lowest, values) = self.reading.get_or_insert_with(|| (as_of, Values::new()));
        *lowest = as_of.min(*lowest);
        for item in items {
            if item.value.is_some() {
                values.insert(item.key.clone(), (item.revision, item.value.clone()));
            }
        }
        if has_more {
            return;
        }
        if let Some((lowest, values)) = self.reading.take() {
            self.values = values;
            self.recent.clear();
            self.start = lowest;
            self.revision = lowest;
            self.complete = true;
        }
    }

    fn apply_events(&mut self, items: &[Item], as_of: u64) {
        for item in items {
            if item.revision <= self.revision {
                continue;
            }
            let entry = (item.revision, item.value.clone());
            if let Some((earlier, _)) = self.values.insert(item.key.clone(), entry) {
                self.recent.remove(&(earlier, item.key.clone()));
            }
            self.recent.insert((item.revision, item.key.clone()));
        }
        while self.recent.len() > MAX_RECENT_CHANGES {
            if let Some((revision, key)) = self.recent.pop_first() {
                self.start = revision;
                if self.values.get(&key).is_some_and(|entry| entry.1.is_none()) {
                    self.values.remove(&key);
                }
            }
        }
        self.revision = self.revision.max(as_of);
    }
}
