//! A local replica of the store's keys below one prefix, kept up to date by a
//! watch.
//!
//! The driver gets the next call from [`Mirror::next_call`], makes it, and
//! passes the outcome to [`Mirror::handle_response`], which appends
//! [`Update`]s to a buffer. A key never returns to an older revision: a value
//! or removal whose revision is not higher than the key's known one is
//! ignored.
//!
//! Load on the store: all entry VMs may start, or lose the store, at the same
//! time. Failed calls are retried with exponential backoff and jitter. The
//! first read accepts stale data, which costs the store a tenth of a current
//! read; the watch that follows delivers the missing changes.

mod log;
mod options;
mod relay;
mod sources;
mod update;

use hashbrown::HashSet;
use indexmap::IndexMap;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::time::{Duration, Instant};

pub use log::{ChangeLog, HistoryError};
pub use options::Options;
pub use relay::{Admittance, Answer, ChangeRequest, Relay, Requester};
pub use sources::{CALL_TIMEOUT, Role, Selection, Source, SourceSelector};
pub use update::{Call, Item, StoreResponse, Update, Value};

/// The longest time that a response takes to arrive while it still counts as sent
/// when it is received; the store usually answers within 4 ms, and availability zones
/// are at most tens of milliseconds apart.
const MAX_TRANSIT: Duration = Duration::from_millis(100);

/// The shortest wait of a watch that ends when delayed removals are due.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);

/// The state of the replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Reads all keys page by page.
    Reading { stale: bool },
    /// Watches for changes.
    Watching,
}

/// Returns when the data of a response was sent, at the earliest: after a call that
/// was made at `requested_at` and allowed to wait for `wait`, received at
/// `received_at`, from a source whose data was `age` old.
///
/// A response may lie unread while the process is paused or the machine is
/// suspended; it doesn't become more recent by that.
pub fn sent_at(
    requested_at: Instant,
    wait: Duration,
    received_at: Instant,
    age: Duration,
) -> Instant {
    received_at.min(requested_at + wait + MAX_TRANSIT) - age
}

/// A replica of all keys below a prefix.
#[derive(Debug)]
pub struct Mirror {
    options: Options,
    stage: Stage,
    /// The revision after which the next watch starts.
    revision: u64,
    /// The lowest revision among the pages of the read in progress. Stale
    /// pages may have different revisions, in any order.
    read_revision: Option<u64>,
    /// The last key of the previous page.
    page_after: Option<String>,
    /// The keys of the read in progress.
    read_keys: HashSet<String>,
    /// The revision of each present key.
    revisions: IndexMap<String, u64>,
    /// The revisions of removals that are not reported yet, by key.
    delayed_removals: IndexMap<String, u64>,
    /// Consecutive failed calls.
    failures: u32,
    backoff_due: bool,
    /// When the current outage began; absent before the first complete read.
    unavailable_since: Option<Instant>,
    /// When the latest outage ended.
    recovered_at: Option<Instant>,
    /// Whether all keys have been read at least once.
    complete: bool,
    rng: Pcg64Mcg,
}

impl Mirror {
    /// Creates an empty replica; `seed` seeds the jitter of backoffs.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            stage: Stage::Reading { stale: true },
            revision: 0,
            read_revision: None,
            page_after: None,
            read_keys: HashSet::new(),
            revisions: IndexMap::new(),
            delayed_removals: IndexMap::new(),
            failures: 0,
            backoff_due: false,
            unavailable_since: None,
            recovered_at: None,
            complete: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the next call to make.
    pub fn next_call(&mut self, now: Instant) -> Call {
        if self.backoff_due {
            let doublings = (self.failures - 1).min(8);
            let backoff = self.options.initial_backoff.times(1 << doublings);
            let backoff = backoff.min(self.options.max_backoff).as_micros();
            let jitter = self.rng.next_u64() % (backoff / 2 + 1);
            return Call::Backoff(Duration::from_micros(backoff / 2 + jitter));
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

    /// Ends a backoff: [`Mirror::next_call`] returns the failed call again.
    pub fn end_backoff(&mut self) {
        self.backoff_due = false;
    }

    /// Applies the outcome of the call that [`Mirror::next_call`] returned and
    /// appends the resulting updates.
    pub fn handle_response(
        &mut self,
        now: Instant,
        response: StoreResponse,
        updates: &mut Vec<Update>,
    ) {
        if !matches!(response, StoreResponse::Failed) {
            self.record_success(now);
        }
        match response {
            StoreResponse::Page {
                items,
                has_more,
                as_of,
            } => self.apply_page(now, items, has_more, as_of, updates),
            StoreResponse::Events { items, as_of } => {
                for item in items {
                    self.apply_item(item, updates);
                }
                self.revision = self.revision.max(as_of);
                updates.push(Update::Current);
            }
            StoreResponse::Compacted => self.restart_read(false),
            StoreResponse::Failed => self.record_failure(now),
        }
        self.flush_removals(now, updates);
    }

    /// Records that the replica comes from an entry VM whose own view is old: the store has
    /// been unavailable to others, and removals may belong to that outage.
    pub fn record_outage(&mut self, now: Instant) {
        if self.complete {
            self.unavailable_since.get_or_insert(now);
        }
    }

    /// Returns the revision up to which all changes have been applied.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Reports delayed removals once [`Options::removal_delay`] has passed since
    /// the latest outage.
    pub fn flush_removals(&mut self, now: Instant, updates: &mut Vec<Update>) {
        if self.delays_removals(now) {
            return;
        }
        for (key, revision) in self.delayed_removals.drain(..) {
            updates.push(Update::Removed { key, revision });
        }
    }

    fn watch_wait(&self, now: Instant) -> Duration {
        let watch_wait = self.options.watch_wait;
        match self.recovered_at {
            Some(at) if self.delays_removals(now) => {
                // In a second outage the delay after the first may be over.
                let remaining = (at + self.options.removal_delay).since(now);
                match remaining {
                    Duration::ZERO => watch_wait,
                    remaining => watch_wait.min(remaining.max(MIN_WATCH_WAIT)),
                }
            }
            _ => watch_wait,
        }
    }

    fn delays_removals(&self, now: Instant) -> bool {
        let delay = self.options.removal_delay;
        self.unavailable_since.is_some()
            || self.recovered_at.is_some_and(|at| now.since(at) < delay)
    }

    fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.backoff_due = true;
        self.record_outage(now);
    }

    fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        self.backoff_due = false;
        if self.unavailable_since.take().is_some() {
            self.recovered_at = Some(now);
        }
    }

    fn restart_read(&mut self, stale: bool) {
        self.stage = Stage::Reading { stale };
        self.read_revision = None;
        self.page_after = None;
        self.read_keys.clear();
    }

    fn apply_page(
        &mut self,
        now: Instant,
        items: Vec<Item>,
        has_more: bool,
        as_of: u64,
        updates: &mut Vec<Update>,
    ) {
        // A page older than the replica counts as a failed call; the read starts
        // again and no longer accepts stale data.
        if as_of < self.revision {
            self.record_failure(now);
            return self.restart_read(false);
        }
        let read_revision = self.read_revision.map_or(as_of, |lowest| lowest.min(as_of));
        self.read_revision = Some(read_revision);
        self.page_after = items.last().map(|item| item.key.clone());
        for item in items {
            self.read_keys.insert(item.key.clone());
            self.apply_item(item, updates);
        }
        if has_more && self.page_after.is_some() {
            return;
        }
        let missing: Vec<String> = self
            .revisions
            .iter()
            .filter(|(key, revision)| **revision <= read_revision && !self.read_keys.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            self.delay_removal(key, read_revision);
        }
        let stale = self.stage == Stage::Reading { stale: true };
        self.restart_read(false);
        self.stage = Stage::Watching;
        self.revision = self.revision.max(read_revision);
        self.complete = true;
        updates.push(if stale {
            Update::Complete
        } else {
            Update::Current
        });
    }

    fn apply_item(&mut self, item: Item, updates: &mut Vec<Update>) {
        let known = self
            .revisions
            .get(&item.key)
            .max(self.delayed_removals.get(&item.key));
        if known.is_some_and(|&known| item.revision <= known) {
            return;
        }
        match item.value {
            Some(value) => {
                self.delayed_removals.shift_remove(&item.key);
                self.revisions.insert(item.key.clone(), item.revision);
                updates.push(Update::Written {
                    key: item.key,
                    value,
                    revision: item.revision,
                });
            }
            None => self.delay_removal(item.key, item.revision),
        }
    }

    fn delay_removal(&mut self, key: String, revision: u64) {
        if self.revisions.swap_remove(&key).is_some() {
            self.delayed_removals.insert(key, revision);
        }
    }
}
