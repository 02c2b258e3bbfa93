//! What an entry VM knows of the store, for others to follow.

use std::collections::VecDeque;

use hashbrown::HashMap;

use super::{Item, StoreResponse};

/// The changes that are kept for others that lag.
const MOST_RECENT: usize = 1_024;

/// Why changes after a revision can't be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryError {
    /// Nothing is known yet, or less than the other knows.
    Behind,
    /// The changes are older than what is kept.
    Compacted,
}

/// Values by key, with their revisions.
type Values = HashMap<String, (u64, Vec<u8>)>;

/// All keys with their values, and the latest changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    values: Values,
    recent: VecDeque<Item>,
    start: u64,
    revision: u64,
    complete: bool,
    reading: Option<(u64, Values)>,
}

impl ChangeLog {
    /// Takes in an answer of the store or of another entry VM.
    pub fn record(&mut self, answer: &StoreResponse) {
        match answer {
            StoreResponse::Page {
                items,
                has_more,
                as_of,
            } => self.page(items, *has_more, *as_of),
            StoreResponse::Events { items, as_of } if self.complete => self.events(items, *as_of),
            StoreResponse::Events { .. } | StoreResponse::Compacted | StoreResponse::Failed => {}
        }
    }

    /// Returns the revision up to which everything is known, once it is.
    pub fn revision(&self) -> Option<u64> {
        self.complete.then_some(self.revision)
    }

    /// Returns the changes after a revision.
    ///
    /// # Errors
    ///
    /// [`HistoryError`] if they aren't known.
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

    /// Returns all keys, once they are known.
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

    fn page(&mut self, items: &[Item], has_more: bool, as_of: u64) {
        if as_of < self.revision {
            self.reading = None;
            return;
        }
        let (from, values) = self.reading.get_or_insert_with(|| (as_of, Values::new()));
        *from = as_of.min(*from);
        for item in items {
            if let Some(value) = &item.value {
                values.insert(item.key.clone(), (item.revision, value.clone()));
            }
        }
        if has_more {
            return;
        }
        if let Some((from, values)) = self.reading.take() {
            self.values = values;
            self.recent.clear();
            self.start = from;
            self.revision = from;
            self.complete = true;
        }
    }

    fn events(&mut self, items: &[Item], as_of: u64) {
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
        while self.recent.len() > MOST_RECENT {
            if let Some(old) = self.recent.pop_front() {
                self.start = old.revision;
            }
        }
        self.revision = self.revision.max(as_of);
    }
}
