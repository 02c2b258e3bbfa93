//! Serves this entry VM's copy of the store to other entry VMs over HTTP.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::mirror::{ChangeLog, HistoryError, StoreResponse};
use cicadaweir_proto::{
    feed::{AFTER_PATH, ALL_PATH, FeedBody},
    query,
};
use flate2::{Compression, write::GzEncoder};
use indexmap::IndexMap;
use log::debug;
use tiny_http::{Header, Request, Response, Server};

/// The interval at which waiting requests are checked when nothing has changed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The longest wait of a request for changes.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The number of followers that are served directly; further ones are redirected
/// to one of them. Thousands of simultaneous changes are sent to each follower
/// within seconds over a link of 10 Mbit/s, which carries the packets too.
const MAX_FOLLOWERS: usize = 8;

/// The number of simultaneous responses with all keys, limited by the same link.
const MAX_BULK_RESPONSES: usize = 2;

/// The size in bytes above which a body is compressed. A smaller body takes one
/// packet in either case.
const MAX_UNCOMPRESSED_BYTES: usize = 1_024;

/// The time after its last request for which a follower is counted and others are
/// redirected to it: long enough for one watch to time out.
const FOLLOWER_TTL: Duration = Duration::from_millis(1_600);

/// The size in bytes above which a body is written on a thread of its own, so that
/// a peer that doesn't read can't block the others.
const MAX_INLINE_BYTES: usize = 4_096;

/// A request that waits for changes.
struct Pending {
    req: Request,
    revision: u64,
    deadline: Instant,
}

/// The served data, the waiting requests and the followers.
#[derive(Default)]
struct State {
    log: ChangeLog,
    /// When the store last sent data, directly or through other entry VMs; absent if
    /// no source is available.
    store_sent_at: Option<Instant>,
    pending: Vec<Pending>,
    followers: IndexMap<SocketAddr, Follower>,
    next_redirect: usize,
    /// Counts the bulk responses in progress: each holds a clone.
    bulk: Arc<()>,
    /// Whether other seeds may follow this entry VM.
    serves_seeds: bool,
}

/// Another entry VM that watches this one.
struct Follower {
    zone: String,
    last_request: Instant,
}

/// The feed of one entry VM.
///
/// Thousands of targets may register while hundreds of entry VMs follow. Traffic
/// between zones is expensive, so one entry VM of each other zone is served
/// directly and serves the others of its zone.
pub struct Feed {
    state: Mutex<State>,
    server: Server,
    zone: String,
}

/// A reply with its status code.
type Reply = (u16, Vec<u8>);

impl Feed {
    /// Starts the feed of an entry VM in the named availability zone, on a thread of
    /// its own.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the socket, with the address in its message.
    pub fn start(address: SocketAddr, zone: &str) -> io::Result<Arc<Self>> {
        let server =
            Server::http(address).map_err(|err| io::Error::other(format!("{address}: {err}")))?;
        let feed = Arc::new(Self {
            state: Mutex::default(),
            server,
            zone: zone.to_owned(),
        });
        let shared = Arc::clone(&feed);
        thread::spawn(move || shared.serve());
        Ok(feed)
    }

    /// Records a response of the store or of another entry VM. `sent_at` is when the
    /// store sent the data.
    pub fn record(&self, response: &StoreResponse, sent_at: Instant) {
        let mut state = self.lock();
        state.log.record(response);
        state.store_sent_at = Some(
            state
                .store_sent_at
                .map_or(sent_at, |known| known.max(sent_at)),
        );
        let has_pending = !state.pending.is_empty();
        drop(state);
        let has_changes = match response {
            StoreResponse::Page { .. } => true,
            StoreResponse::Events { items, .. } => !items.is_empty(),
            StoreResponse::Compacted | StoreResponse::Failed => false,
        };
        if has_pending && has_changes {
            self.server.unblock();
        }
    }

    /// Sets whether other seeds may follow this entry VM. It must be false while this
    /// entry VM follows a seed that may itself follow it.
    pub fn set_serves_seeds(&self, serves_seeds: bool) {
        self.lock().serves_seeds = serves_seeds;
    }

    /// Records that no source is available. Waiting requests fail immediately, so that
    /// followers can query another source.
    pub fn mark_unavailable(&self) {
        self.lock().store_sent_at = None;
        self.server.unblock();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self) {
        loop {
            match self.server.recv_timeout(SWEEP_INTERVAL) {
                Ok(Some(req)) => self.handle_request(req),
                Ok(None) => {}
                Err(err) => debug!(err:display; "feed request could not be read"),
            }
            self.sweep();
        }
    }

    fn handle_request(&self, req: Request) {
        let url = req.url().to_owned();
        let (path, arguments) = url.split_once('?').unwrap_or((&url, ""));
        let now = Instant::now();
        let mut state = self.lock();
        match path {
            ALL_PATH => {
                let in_progress = Arc::clone(&state.bulk);
                let reply = if Arc::strong_count(&in_progress) > MAX_BULK_RESPONSES + 1 {
                    (503, Vec::new())
                } else {
                    state.all_keys(now)
                };
                drop(state);
                thread::spawn(move || {
                    respond(req, reply);
                    drop(in_progress);
                });
            }
            AFTER_PATH => {
                let parameter = |name| query::parameter(arguments, name);
                let revision = parameter("revision").and_then(|text| text.parse().ok());
                let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                let from = parameter("from").and_then(|text| text.parse().ok());
                let zone = parameter("zone").unwrap_or_default();
                let is_seed = parameter("seed").is_some();
                if is_seed && !state.serves_seeds {
                    drop(state);
                    return respond(req, (503, Vec::new()));
                }
                let follower = from.filter(|_| !is_seed);
                let redirect =
                    follower.and_then(|from| state.add_follower(from, &zone, &self.zone, now));
                if let Some(redirect) = redirect {
                    drop(state);
                    return respond(req, redirect_to(redirect));
                }
                state.pending.push(Pending {
                    req,
                    revision: revision.unwrap_or(0),
                    deadline: now + wait,
                });
            }
            _ => {
                drop(state);
                respond(req, (404, Vec::new()));
            }
        }
    }

    /// Responds to the waiting requests that have changes, an error or no time left.
    fn sweep(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut ready = Vec::new();
        let mut at = 0;
        while at < state.pending.len() {
            let pending = &state.pending[at];
            match state.reply(pending.revision, pending.deadline, now) {
                Some(reply) => ready.push((state.pending.swap_remove(at).req, reply)),
                None => at += 1,
            }
        }
        drop(state);
        for (req, reply) in ready {
            respond(req, reply);
        }
    }
}

impl State {
    /// Returns the milliseconds since the store last sent data.
    fn age_ms(&self, now: Instant) -> Option<u64> {
        let sent_at = self.store_sent_at?;
        Some(now.saturating_duration_since(sent_at).as_millis() as u64)
    }

    fn all_keys(&self, now: Instant) -> Reply {
        match (self.log.all(), self.age_ms(now)) {
            (Some(response), Some(age_ms)) => encode(&FeedBody::new(response, age_ms)),
            _ => (503, Vec::new()),
        }
    }

    /// Returns the reply to a waiting request, or `None` if it has to wait longer.
    fn reply(&self, revision: u64, deadline: Instant, now: Instant) -> Option<Reply> {
        let Some(age_ms) = self.age_ms(now) else {
            return Some((503, Vec::new()));
        };
        match self.log.changes_after(revision) {
            Ok(StoreResponse::Events { items, .. }) if items.is_empty() && now < deadline => None,
            Ok(response) => Some(encode(&FeedBody::new(response, age_ms))),
            Err(HistoryError::Behind) => Some((503, Vec::new())),
            Err(HistoryError::Compacted) => Some((410, Vec::new())),
        }
    }

    /// Adds or refreshes a follower, or returns the entry VM to redirect it to. A new
    /// follower of another zone is redirected if its zone already has one. Above
    /// [`MAX_FOLLOWERS`] a new follower is redirected to the followers of its own zone
    /// in turn, and accepted if there are none.
    fn add_follower(
        &mut self,
        from: SocketAddr,
        zone: &str,
        own_zone: &str,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.followers
            .retain(|_, follower| now.duration_since(follower.last_request) < FOLLOWER_TTL);
        let mut others = self.followers.iter().filter(|(addr, _)| **addr != from);
        let same_zone = others
            .find(|(_, follower)| follower.zone == zone)
            .map(|f| *f.0);
        let known = self.followers.contains_key(&from);
        let redirect = if zone != own_zone && same_zone.is_some() && !known {
            same_zone
        } else if known || self.followers.len() < MAX_FOLLOWERS {
            None
        } else {
            let same_zone = self.followers.iter().filter(|(_, f)| f.zone == zone);
            let same_zone: Vec<SocketAddr> = same_zone.map(|(addr, _)| *addr).collect();
            self.next_redirect = self.next_redirect.wrapping_add(1);
            same_zone
                .get(self.next_redirect % same_zone.len().max(1))
                .copied()
        };
        if redirect.is_none() {
            let zone = zone.to_owned();
            self.followers.insert(
                from,
                Follower {
                    zone,
                    last_request: now,
                },
            );
        }
        redirect
    }
}

fn redirect_to(addr: SocketAddr) -> Reply {
    encode(&FeedBody {
        instead: Some(addr.to_string()),
        ..FeedBody::default()
    })
}

fn encode(body: &FeedBody) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => (200, bytes),
        Err(err) => (500, err.to_string().into_bytes()),
    }
}

fn respond(req: Request, (code, body): Reply) {
    if body.len() <= MAX_INLINE_BYTES {
        send(req, code, body);
    } else {
        thread::spawn(move || send(req, code, body));
    }
}

fn send(req: Request, code: u16, body: Vec<u8>) {
    let response = match compress(&body) {
        Some(compressed) => Response::from_data(compressed).with_header(gzip_header()),
        None => Response::from_data(body),
    };
    if let Err(err) = req.respond(response.with_status_code(code)) {
        debug!(err:display; "feed response could not be sent");
    }
}

/// Returns the compressed body, or `None` if it is small or compression fails.
fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() <= MAX_UNCOMPRESSED_BYTES {
        return None;
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(body).and_then(|()| encoder.finish());
    match written {
        Ok(compressed) => Some(compressed),
        Err(err) => {
            debug!(err:display; "feed response could not be compressed, sending it uncompressed");
            None
        }
    }
}

fn gzip_header() -> Header {
    Header::from_bytes("Content-Encoding", "gzip").expect("the constant header is valid")
}
