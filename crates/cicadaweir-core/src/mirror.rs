//! A copy of a part of the store, kept up by one watch.
//!
//! The driver asks [`Mirror::next_call`] what to do, does it, and hands the
//! result to [`Mirror::handle_response`], which fills a buffer with [`Update`]s. The
//! copy never goes back: a value or removal with a lower revision than the
//! one that is known for its key is ignored.
//!
//! Load pattern: all entry VMs start, or lose the store, at the same moment.
//! Failed calls back off with jitter, and the first read is a stale one,
//! which costs the store a tenth; the watch behind it brings what is missing.

mod log;
mod options;
mod sources;
mod update;

use hashbrown::{HashMap, HashSet};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::time::{Duration, Instant};

pub use log::{ChangeLog, HistoryError};
pub use options::Options;
pub use sources::{Role, Selection, Source, SourceSelector};
pub use update::{Call, Item, StoreResponse, Update};

/// What the mirror is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Reading all keys, page after page.
    Reading { stale: bool },
    /// Waiting for changes.
    Watching,
}

/// A copy of all keys below a prefix.
#[derive(Debug)]
pub struct Mirror {
    options: Options,
    stage: Stage,
    /// Where the next watch continues.
    revision: u64,
    /// The lowest revision of the pages of the read in progress: stale pages
    /// may differ, and a later one may be older.
    read_from: Option<u64>,
    page_after: Option<String>,
    seen: HashSet<String>,
    known: HashMap<String, u64>,
    /// Removals that are held back, by key, with their revisions.
    removed: HashMap<String, u64>,
    failures: u32,
    must_pause: bool,
    lost_at: Option<Instant>,
    regained_at: Option<Instant>,
    complete: bool,
    rng: Pcg64Mcg,
}

impl Mirror {
    /// Makes an empty copy.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            stage: Stage::Reading { stale: true },
            revision: 0,
            read_from: None,
            page_after: None,
            seen: HashSet::new(),
            known: HashMap::new(),
            removed: HashMap::new(),
            failures: 0,
            must_pause: false,
            lost_at: None,
            regained_at: None,
            complete: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns what to do next.
    pub fn next_call(&mut self, now: Instant) -> Call {
        if self.must_pause {
            let doublings = (self.failures - 1).min(8);
            let pause = self.options.retry_pause.times(1 << doublings);
            let pause = pause.min(self.options.longest_pause).as_micros();
            let jitter = self.rng.next_u64() % (pause / 2 + 1);
            return Call::Backoff(Duration::from_micros(pause / 2 + jitter));
        }
        match self.stage {
            Stage::Reading { stale } => Call::Range {
                after: self.page_after.clone(),
                stale,
            },
            Stage::Watching => Call::Watch {
                after: self.revision,
                wait: self.watch_wait(now),
            },
        }
    }

    /// Ends a pause; the failed call is tried again.
    pub fn end_backoff(&mut self) {
        self.must_pause = false;
    }

    /// Takes in the answer to a call that [`Mirror::next_call`] asked for.
    pub fn handle_response(
        &mut self,
        now: Instant,
        answer: StoreResponse,
        updates: &mut Vec<Update>,
    ) {
        if !matches!(answer, StoreResponse::Failed) {
            self.regain(now);
        }
        match answer {
            StoreResponse::Page {
                items,
                has_more,
                as_of,
            } => self.page(now, items, has_more, as_of, updates),
            StoreResponse::Events { items, as_of } => {
                for item in items {
                    self.take(item, updates);
                }
                self.revision = self.revision.max(as_of);
                updates.push(Update::Current);
            }
            StoreResponse::Compacted => self.read_again(false),
            StoreResponse::Failed => self.lose(now),
        }
        self.release(now, updates);
    }

    /// Returns the revision up to which changes are known.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Hands out removals whose hold has ended.
    pub fn release(&mut self, now: Instant, updates: &mut Vec<Update>) {
        if self.is_holding(now) {
            return;
        }
        for (key, revision) in self.removed.drain() {
            updates.push(Update::Removed { key, revision });
        }
    }

    fn watch_wait(&self, now: Instant) -> Duration {
        let usual = self.options.watch_wait;
        match self.regained_at {
            Some(at) if self.is_holding(now) => {
                let held = now.since(at);
                let left = self.options.removal_hold.as_micros() - held.as_micros();
                usual.min(Duration::from_micros(left.max(1_000)))
            }
            _ => usual,
        }
    }

    fn is_holding(&self, now: Instant) -> bool {
        let hold = self.options.removal_hold;
        self.lost_at.is_some() || self.regained_at.is_some_and(|at| now.since(at) < hold)
    }

    fn lose(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.must_pause = true;
        if self.complete {
            self.lost_at.get_or_insert(now);
        }
    }

    fn regain(&mut self, now: Instant) {
        self.failures = 0;
        self.must_pause = false;
        if self.lost_at.take().is_some() {
            self.regained_at = Some(now);
        }
    }

    fn read_again(&mut self, stale: bool) {
        self.stage = Stage::Reading { stale };
        self.read_from = None;
        self.page_after = None;
        self.seen.clear();
    }

    fn page(
        &mut self,
        now: Instant,
        items: Vec<Item>,
        has_more: bool,
        as_of: u64,
        updates: &mut Vec<Update>,
    ) {
        if as_of < self.revision {
            self.lose(now);
            return self.read_again(false);
        }
        let from = self.read_from.map_or(as_of, |from| from.min(as_of));
        self.read_from = Some(from);
        self.page_after = items.last().map(|item| item.key.clone());
        for item in items {
            self.seen.insert(item.key.clone());
            self.take(item, updates);
        }
        if has_more && self.page_after.is_some() {
            return;
        }
        let gone: Vec<String> = self
            .known
            .iter()
            .filter(|(key, revision)| **revision <= from && !self.seen.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(key, from);
        }
        let stale = self.stage == Stage::Reading { stale: true };
        self.read_again(false);
        self.stage = Stage::Watching;
        self.revision = self.revision.max(from);
        self.complete = true;
        updates.push(if stale {
            Update::Complete
        } else {
            Update::Current
        });
    }

    fn take(&mut self, item: Item, updates: &mut Vec<Update>) {
        let known = self.known.get(&item.key).max(self.removed.get(&item.key));
        if known.is_some_and(|&known| item.revision <= known) {
            return;
        }
        match item.value {
            Some(value) => {
                self.removed.remove(&item.key);
                self.known.insert(item.key.clone(), item.revision);
                updates.push(Update::Written {
                    key: item.key,
                    value,
                    revision: item.revision,
                });
            }
            None => self.remove(item.key, item.revision),
        }
    }

    fn remove(&mut self, key: String, revision: u64) {
        if self.known.remove(&key).is_some() {
            self.removed.insert(key, revision);
        }
    }
}
