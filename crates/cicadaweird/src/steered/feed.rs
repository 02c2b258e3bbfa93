//! Telling other entry VMs what this one knows of the store.

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

/// How often waiting calls are looked at without news.
const SWEEP: Duration = Duration::from_millis(250);

/// The longest wait of a call.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// How many others are told directly; further ones are sent to one of these.
/// Thousands of changes at once have to pass a link of 10 Mbit/s as often
/// within seconds, and packets beside them.
const MOST_FOLLOWERS: usize = 8;

/// How many others read all keys at the same moment, for the same reason.
const MOST_BULK: usize = 2;

/// A body above this size is compressed: below it a packet is sent anyway.
const PLAIN_BYTES: usize = 1_024;

/// How long a follower that no longer asks counts as one, and is named to
/// others: a watch and its time-out.
const FOLLOWER_MEMORY: Duration = Duration::from_millis(1_600);

/// A body above this size is written on a thread of its own: a peer that
/// doesn't read must not hold up the others.
const INLINE_BYTES: usize = 4_096;

/// A call that waits for changes.
struct Pending {
    req: Request,
    revision: u64,
    until: Instant,
}

/// What is told, and who waits.
#[derive(Default)]
struct State {
    log: ChangeLog,
    heard: Option<Instant>,
    pending: Vec<Pending>,
    followers: IndexMap<SocketAddr, Follower>,
    next_instead: usize,
    bulk: Arc<()>,
    /// Whether seeds may rely on what is told here.
    leads: bool,
}

/// Another entry VM that asks.
struct Follower {
    zone: String,
    seen: Instant,
}

/// The feed of one entry VM.
///
/// Load pattern: thousands of targets register while hundreds of entry VMs
/// follow. Bytes between zones are dear, so one entry VM of each other zone
/// is told directly and tells the others of its zone.
pub struct Feed {
    state: Mutex<State>,
    server: Server,
    zone: String,
}

/// A reply with its status code.
type Reply = (u16, Vec<u8>);

impl Feed {
    /// Starts the feed of an entry VM in the named availability zone.
    ///
    /// # Errors
    ///
    /// The operating system's error, with the address in it.
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

    /// Takes in what the store, or somebody who had asked it, has answered.
    /// `heard` is when the store was heard.
    pub fn record(&self, answer: &StoreResponse, heard: Instant) {
        let mut state = self.lock();
        state.log.record(answer);
        state.heard = Some(state.heard.map_or(heard, |known| known.max(heard)));
        let waiting = !state.pending.is_empty();
        drop(state);
        let has_news = match answer {
            StoreResponse::Page { .. } => true,
            StoreResponse::Events { items, .. } => !items.is_empty(),
            StoreResponse::Compacted | StoreResponse::Failed => false,
        };
        if waiting && has_news {
            self.server.unblock();
        }
    }

    /// Notes whether other seeds may rely on this entry VM: not while it is
    /// itself told by one that may be told by it.
    pub fn set_leads(&self, leads: bool) {
        self.lock().leads = leads;
    }

    /// Notes that nobody could be heard; the others are told at once, so that
    /// they can ask elsewhere.
    pub fn lost(&self) {
        self.lock().heard = None;
        self.server.unblock();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self) {
        loop {
            match self.server.recv_timeout(SWEEP) {
                Ok(Some(req)) => self.take(req),
                Ok(None) => {}
                Err(err) => debug!(err:display; "a call of the feed could not be read"),
            }
            self.sweep();
        }
    }

    fn take(&self, req: Request) {
        let url = req.url().to_owned();
        let (path, arguments) = url.split_once('?').unwrap_or((&url, ""));
        let now = Instant::now();
        let mut state = self.lock();
        match path {
            ALL_PATH => {
                // Each bulk answer under way holds a copy.
                let under_way = Arc::clone(&state.bulk);
                let reply = if Arc::strong_count(&under_way) > MOST_BULK + 1 {
                    (503, Vec::new())
                } else {
                    state.all(now)
                };
                drop(state);
                thread::spawn(move || {
                    respond(req, reply);
                    drop(under_way);
                });
            }
            AFTER_PATH => {
                let argument = |name| query::argument(arguments, name);
                let revision = argument("revision").and_then(|text| text.parse().ok());
                let wait = argument("wait_ms").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(LONGEST_WAIT);
                let from = argument("from").and_then(|text| text.parse().ok());
                let zone = argument("zone").unwrap_or_default();
                let is_seed = argument("seed").is_some();
                if is_seed && !state.leads {
                    drop(state);
                    return respond(req, (503, Vec::new()));
                }
                let instead = from.filter(|_| !is_seed);
                let instead = instead.and_then(|from| state.follow(from, &zone, &self.zone, now));
                if let Some(instead) = instead {
                    drop(state);
                    return respond(req, redirect(instead));
                }
                state.pending.push(Pending {
                    req,
                    revision: revision.unwrap_or(0),
                    until: now + wait,
                });
            }
            _ => {
                drop(state);
                respond(req, (404, Vec::new()));
            }
        }
    }

    fn sweep(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut ready = Vec::new();
        let mut at = 0;
        while at < state.pending.len() {
            let pending = &state.pending[at];
            match state.reply(pending.revision, pending.until, now) {
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
    fn age_ms(&self, now: Instant) -> Option<u64> {
        let heard = self.heard?;
        Some(now.saturating_duration_since(heard).as_millis() as u64)
    }

    fn all(&self, now: Instant) -> Reply {
        match (self.log.all(), self.age_ms(now)) {
            (Some(answer), Some(age_ms)) => encode(&FeedBody::new(answer, age_ms)),
            _ => (503, Vec::new()),
        }
    }

    /// Returns the reply to a call that waits, unless it has to go on waiting.
    fn reply(&self, revision: u64, until: Instant, now: Instant) -> Option<Reply> {
        let Some(age_ms) = self.age_ms(now) else {
            return Some((503, Vec::new()));
        };
        match self.log.changes_after(revision) {
            Ok(StoreResponse::Events { items, .. }) if items.is_empty() && now < until => None,
            Ok(answer) => Some(encode(&FeedBody::new(answer, age_ms))),
            Err(HistoryError::Behind) => Some((503, Vec::new())),
            Err(HistoryError::Compacted) => Some((410, Vec::new())),
        }
    }

    /// Counts a follower; returns whom it is to ask instead, if anyone: the
    /// follower that its zone already has, or any if there are enough.
    fn follow(
        &mut self,
        from: SocketAddr,
        zone: &str,
        own_zone: &str,
        now: Instant,
    ) -> Option<SocketAddr> {
        self.followers
            .retain(|_, follower| now.duration_since(follower.seen) < FOLLOWER_MEMORY);
        let mut others = self.followers.iter().filter(|(addr, _)| **addr != from);
        let same = others
            .find(|(_, follower)| follower.zone == zone)
            .map(|f| *f.0);
        let known = self.followers.contains_key(&from);
        let instead = if zone != own_zone && same.is_some() && !known {
            same
        } else if known || self.followers.len() < MOST_FOLLOWERS {
            None
        } else {
            let same = self.followers.iter().filter(|(_, f)| f.zone == zone);
            let same: Vec<SocketAddr> = same.map(|(addr, _)| *addr).collect();
            self.next_instead = self.next_instead.wrapping_add(1);
            same.get(self.next_instead % same.len().max(1)).copied()
        };
        if instead.is_none() {
            let zone = zone.to_owned();
            self.followers.insert(from, Follower { zone, seen: now });
        }
        instead
    }
}

fn redirect(instead: SocketAddr) -> Reply {
    encode(&FeedBody {
        instead: Some(instead.to_string()),
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
    if body.len() <= INLINE_BYTES {
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
        debug!(err:display; "an answer of the feed could not be sent");
    }
}

/// Returns the compressed body, if it is worth it.
fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() <= PLAIN_BYTES {
        return None;
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(body).and_then(|()| encoder.finish());
    match written {
        Ok(compressed) => Some(compressed),
        Err(err) => {
            debug!(err:display; "a body could not be compressed, it is sent as it is");
            None
        }
    }
}

fn gzip_header() -> Header {
    Header::from_bytes("Content-Encoding", "gzip").expect("a constant header is valid")
}
