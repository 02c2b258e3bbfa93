//! The HTTP server of the key-value service and the membership list.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cicadaweir_proto::list::ListRecord;
use indexmap::IndexMap;
use tiny_http::{Header, Method, Request, Response};

use super::{Faults, Kv, PutResult};
use crate::serve::{self, POLL_INTERVAL};

/// The number of calls served so far; a watch counts once, however long it
/// waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Key reads without waiting.
    pub reads: u64,
    /// Key reads that wait for a newer version.
    pub watches: u64,
    /// Key writes, and grants and renewals of leases.
    pub writes: u64,
    /// Membership list reads.
    pub lists: u64,
}

#[derive(Debug, Default)]
struct State {
    kv: Kv,
    members: Vec<ListRecord>,
    faults: Faults,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Core {
    state: Mutex<State>,
    changed: Condvar,
    shutdown: Arc<AtomicBool>,
}

/// The platform's services on one address; they stop when this is dropped.
#[derive(Debug)]
pub struct PlatformServer {
    core: Arc<Core>,
    addr: SocketAddr,
}

impl PlatformServer {
    /// Starts the services.
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

    /// Sets the membership list, unless it is frozen.
    pub fn set_members(&self, members: Vec<ListRecord>) {
        let mut state = self.core.lock();
        if !state.faults.list_frozen {
            state.members = members;
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.core.lock().faults = faults;
        self.core.changed.notify_all();
    }

    /// Returns the number of calls served so far.
    pub fn counts(&self) -> Counts {
        self.core.lock().counts
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.core.shutdown.store(true, Ordering::Relaxed);
    }
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn serve(&self, mut req: Request) {
        let faults = self.lock().faults;
        thread::sleep(faults.delay);
        if faults.down {
            return respond(req, 503, None, b"down");
        }
        let url = req.url().to_owned();
        let (path, arguments) = url.split_once('?').unwrap_or((&url, ""));
        let arguments = parse_arguments(arguments);
        let mut body = Vec::new();
        let _ = req.as_reader().read_to_end(&mut body);
        match (req.method().clone(), path) {
            (Method::Get, "/members") => self.list_members(req),
            (Method::Post, "/leases") => self.grant_lease(req, &arguments),
            (Method::Post, "/leases/keep") => self.renew_lease(req, &arguments),
            (Method::Get, path) if path.starts_with("/kv/") => {
                self.read(req, &path[4..], &arguments);
            }
            (Method::Put, path) if path.starts_with("/kv/") => {
                self.write(req, &path[4..], &arguments, body);
            }
            _ => respond(req, 404, None, b"unknown call"),
        }
    }

    fn list_members(&self, req: Request) {
        let mut state = self.lock();
        state.counts.lists += 1;
        let body = serde_json::to_vec(&state.members).unwrap_or_default();
        drop(state);
        respond(req, 200, None, &body);
    }

    fn read(&self, req: Request, key: &str, arguments: &IndexMap<String, u64>) {
        let after = arguments.get("after").copied();
        let wait = Duration::from_millis(arguments.get("wait_ms").copied().unwrap_or(0));
        let mut state = self.lock();
        match after {
            Some(_) => state.counts.watches += 1,
            None => state.counts.reads += 1,
        }
        let deadline = Instant::now() + wait;
        loop {
            state.kv.expire_leases(Instant::now());
            let version = state.kv.get(key).map_or(0, |found| found.0);
            let remaining = deadline.saturating_duration_since(Instant::now());
            let waits = after.is_some_and(|after| version <= after);
            if !waits || remaining.is_zero() || state.faults.down {
                break;
            }
            let waited = self
                .changed
                .wait_timeout(state, remaining.min(POLL_INTERVAL));
            state = waited.map_or_else(|e| e.into_inner().0, |w| w.0);
        }
        let down = state.faults.down;
        let found = state.kv.get(key).map(|(v, value)| (v, value.to_vec()));
        drop(state);
        match found {
            _ if down => respond(req, 503, None, b"down"),
            Some((version, value)) => respond(req, 200, Some(version), &value),
            None => respond(req, 404, None, b"no such key"),
        }
    }

    fn write(&self, req: Request, key: &str, arguments: &IndexMap<String, u64>, body: Vec<u8>) {
        let expected = arguments.get("expected").copied().unwrap_or(0);
        let mut state = self.lock();
        state.counts.writes += 1;
        let lease = arguments.get("lease").copied();
        let put = state.kv.put(key, expected, body, lease);
        let response_lost = state.faults.lost_write_responses > 0;
        state.faults.lost_write_responses -= u32::from(response_lost);
        drop(state);
        self.changed.notify_all();
        if response_lost {
            // The write has taken effect; this status does not tell the caller
            // whether it has.
            return respond(req, 504, None, b"lost");
        }
        match put {
            PutResult::Written(version) => respond(req, 200, Some(version), b""),
            PutResult::Conflict(version) => respond(req, 409, Some(version), b""),
            PutResult::TooLarge => respond(req, 413, None, b"larger than 1 MB"),
            PutResult::LeaseNotFound => respond(req, 410, None, b"no such lease"),
        }
    }

    fn grant_lease(&self, req: Request, arguments: &IndexMap<String, u64>) {
        let ttl_ms = arguments.get("ttl_ms").copied().unwrap_or(1_000);
        let mut state = self.lock();
        state.counts.writes += 1;
        let id = state
            .kv
            .grant(Instant::now(), Duration::from_millis(ttl_ms));
        drop(state);
        respond(req, 200, None, id.to_string().as_bytes());
    }

    fn renew_lease(&self, req: Request, arguments: &IndexMap<String, u64>) {
        let id = arguments.get("id").copied().unwrap_or(0);
        let mut state = self.lock();
        state.counts.writes += 1;
        let now = Instant::now();
        state.kv.expire_leases(now);
        let code = if state.kv.keep_alive(now, id) {
            200
        } else {
            410
        };
        drop(state);
        respond(req, code, None, b"");
    }
}

fn parse_arguments(text: &str) -> IndexMap<String, u64> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}

fn respond(req: Request, code: u16, version: Option<u64>, body: &[u8]) {
    let mut response = Response::from_data(body).with_status_code(code);
    if let Some(version) = version {
        let header = Header::from_bytes("kv-version", version.to_string());
        response.add_header(header.expect("a decimal number is a valid header value"));
    }
    let _ = req.respond(response);
}
