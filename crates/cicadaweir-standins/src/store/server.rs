//! The HTTP server of a store.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use cicadaweir_proto::query::parameter;
use serde_json::{Value, json};
use tiny_http::{Request, Response};

use super::{Availability, Entry, History, StoreFaults};
use crate::serve::{self, POLL_INTERVAL};

/// The maximum number of keys on a page of a range read.
const PAGE_KEYS: usize = 50;

/// The size of the values in bytes after which a page ends.
const PAGE_BYTES: usize = 1 << 20;

/// The maximum time for which a silent store leaves a call unanswered.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// The number of calls processed so far. Calls that arrive while the store is
/// busy or silent are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounts {
    /// Reads that require up-to-date data.
    pub reads: u64,
    /// Reads that permit stale data.
    pub stale_reads: u64,
    /// Watch calls.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct State {
    history: History,
    faults: StoreFaults,
    counts: StoreCounts,
}

#[derive(Debug, Default)]
struct Core {
    state: Mutex<State>,
    changed: Condvar,
    shutdown: Arc<AtomicBool>,
}

/// A store that listens on one address; it stops when this is dropped.
#[derive(Debug)]
pub struct StoreServer {
    core: Arc<Core>,
    addr: SocketAddr,
}

impl StoreServer {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// The I/O error with the address if it cannot be bound.
    ///
    /// # Panics
    ///
    /// If the bound address is not an IP address.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let core = Arc::new(Core::default());
        let shared = Arc::clone(&core);
        let addr = serve::start(addr, &core.shutdown, move |req| shared.serve(req))?;
        Ok(Self { core, addr })
    }

    /// Returns the bound address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.core.lock().history.change(key, Some(value.to_vec()));
        self.core.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.core.lock().history.change(key, None);
        self.core.changed.notify_all();
    }

    /// Compacts the history: watches after an earlier revision get status 410.
    pub fn compact(&self) {
        self.core.lock().history.compact();
        self.core.changed.notify_all();
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.core.lock().faults = faults;
        self.core.changed.notify_all();
    }

    /// Returns the number of calls processed so far.
    pub fn counts(&self) -> StoreCounts {
        self.core.lock().counts
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.core.shutdown.store(true, Ordering::Relaxed);
        self.core.changed.notify_all();
    }
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, req: Request) {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let faults = self.lock().faults;
        thread::sleep(faults.delay);
        match faults.availability {
            Availability::Serving => {}
            Availability::Busy => return respond(req, 503, &Value::Null),
            Availability::Silent => {
                self.wait_while_silent();
                return respond(req, 503, &Value::Null);
            }
        }
        let (code, body) = match path {
            "/-/kv-range" => self.range(query),
            "/-/kv-watch" => self.watch(query),
            _ => (404, Value::Null),
        };
        respond(req, code, &body);
    }

    fn wait_while_silent(&self) {
        let deadline = Instant::now() + MAX_SILENCE;
        let mut state = self.lock();
        while state.faults.availability == Availability::Silent && Instant::now() < deadline {
            state = self
                .changed
                .wait_timeout(state, POLL_INTERVAL)
                .map_or_else(|err| err.into_inner().0, |waited| waited.0);
        }
    }

    fn range(&self, query: &str) -> (u16, Value) {
        let mut state = self.lock();
        let stale = parameter(query, "staleOk").is_some();
        let lag = if stale { state.faults.stale_by } else { 0 };
        state.counts.stale_reads += u64::from(stale);
        state.counts.reads += u64::from(!stale);
        let as_of = state.history.revision().saturating_sub(lag);
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let entries = state.history.snapshot_at(as_of, &prefix);
        let mut remaining = entries.into_iter().filter(|entry| entry.key > after);
        let mut bytes = 0;
        let page = remaining.by_ref().take(PAGE_KEYS).take_while(|entry| {
            let fits = bytes < PAGE_BYTES;
            bytes += entry.value.as_ref().map_or(0, Vec::len);
            fits
        });
        let items: Vec<Value> = page.map(item_json).collect();
        let has_more = bytes > PAGE_BYTES || remaining.next().is_some();
        (
            200,
            json!({"items": items, "hasMore": has_more, "asOf": as_of}),
        )
    }

    fn watch(&self, query: &str) -> (u16, Value) {
        let number = |name| parameter(query, name).and_then(|text| text.parse().ok());
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let (after, wait_ms) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        state.counts.watches += 1;
        loop {
            if state.faults.availability != Availability::Serving {
                return (503, Value::Null);
            }
            let Some(events) = state.history.changes_after(after, &prefix) else {
                return (410, Value::Null);
            };
            let expired = Instant::now() >= deadline || self.shutdown.load(Ordering::Relaxed);
            if !events.is_empty() || expired {
                let events: Vec<Value> = events.into_iter().map(item_json).collect();
                let as_of = state.history.revision();
                return (200, json!({"events": events, "asOf": as_of}));
            }
            state = self
                .changed
                .wait_timeout(state, POLL_INTERVAL)
                .map_or_else(|err| err.into_inner().0, |waited| waited.0);
        }
    }
}

fn item_json(entry: &Entry) -> Value {
    let (key, revision) = (&entry.key, entry.revision);
    match &entry.value {
        Some(value) => {
            let value = STANDARD.encode(value);
            json!({"key": key, "value": value, "revision": revision, "createRev": 1, "lease": 0})
        }
        None => json!({"key": key, "revision": revision, "deleted": true}),
    }
}

fn respond(req: Request, code: u16, body: &Value) {
    // The caller may have closed the connection.
    let _ = req.respond(Response::from_string(body.to_string()).with_status_code(code));
}
