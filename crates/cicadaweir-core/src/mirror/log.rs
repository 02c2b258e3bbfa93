//! The store's content and recent changes, served to other entry VMs.

use std::collections::VecDeque;

use hashbrown::HashMap;

use super::{Item, StoreResponse};

/// The number of recent changes kept for followers that lag behind.
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

/// Values by key, with their revisions.
type Values = HashMap<String, (u64, Vec<u8>)>;

/// All keys with their values, and the most recent changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    values: Values,
    /// The changes after `start`, oldest first.
    recent: VecDeque<Item>,
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
        let later = self.recent.iter().filter(|item| item.revision > revision);
        Ok(StoreResponse::Events {
            items: later.cloned().collect(),
            as_of: self.revision,
        })
    }

    /// Returns all keys with their values as one page; `None` before all keys
    /// have been read.
    pub fn all(&self) -> Option<StoreResponse> {
        self.complete.then(|| StoreResponse::Page {
            items: self
                .values
                .iter()
                .map(|(key, (revision, value))| Item {
                    key: key.clone(),
                    value: Some(value.clone()),
                    revision: *revision,
                })
                .collect(),
            has_more: false,
            as_of: self.revision,
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
            if let Some(value) = &item.value {
                values.insert(item.key.clone(), (item.revision, value.clone()));
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
            match &item.value {
                Some(value) => {
                    let entry = (item.revision, value.clone());
                    self.values.insert(item.key.clone(), entry);
                }
                None => {
                    self.values.remove(&item.key);
                }
            }
            self.recent.push_back(item.clone());
        }
        while self.recent.len() > MAX_RECENT_CHANGES {
            if let Some(evicted) = self.recent.pop_front() {
                self.start = evicted.revision;
            }
        }
        self.revision = self.revision.max(as_of);
    }
}
