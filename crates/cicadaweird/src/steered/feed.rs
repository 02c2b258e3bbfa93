//! Serves this entry VM's copy of the store to other entry VMs over HTTP.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use cicadaweir_core::{
    mirror::{Admittance, Answer, ChangeRequest, Options, Relay, Requester, StoreResponse},
    time::{self, Instant},
};
use cicadaweir_proto::{
    feed::{AFTER_PATH, ALL_PATH, FeedBody},
    query,
};
use flate2::{Compression, write::GzEncoder};
use log::debug;
use tiny_http::{Header, Request, Response, Server};

use crate::{clock, threads};

/// The interval at which waiting requests are checked when nothing has changed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The longest wait of a request for changes.
const MAX_WAIT: time::Duration = time::Duration::from_secs(5);

/// The number of simultaneous responses with all keys, limited by the same link.
const MAX_BULK_RESPONSES: usize = 2;

/// The size in bytes above which a body is compressed. A smaller body takes one
/// packet in either case.
const MAX_UNCOMPRESSED_BYTES: usize = 1_024;

/// The size in bytes above which a body is written on a thread of its own, so that
/// a peer that doesn't read can't block the others.
const MAX_INLINE_BYTES: usize = 4_096;

/// A request that waits for changes.
struct Pending {
    req: Request,
    request: ChangeRequest,
}

/// The served data and the waiting requests.
struct State {
    relay: Relay,
    pending: Vec<Pending>,
    /// Counts the bulk responses in progress: each holds a clone.
    bulk: Arc<()>,
}

/// The feed of one entry VM.
///
/// [`Relay`] decides who is served here.
pub struct Feed {
    state: Mutex<State>,
    server: Server,
}

/// A reply with its status code.
type Reply = (u16, Vec<u8>);

impl Feed {
    /// Starts the feed of an entry VM in the named availability zone, on a thread of
    /// its own. `on_panic` is called if that thread panics.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the socket, with the address in its message.
    pub fn start(
        address: SocketAddr,
        zone: &str,
        on_panic: impl FnOnce() + Send + 'static,
    ) -> io::Result<Arc<Self>> {
        let server =
            Server::http(address).map_err(|err| io::Error::other(format!("{address}: {err}")))?;
        let feed = Arc::new(Self {
            state: Mutex::new(State {
                relay: Relay::new(zone, Options::default()),
                pending: Vec::new(),
                bulk: Arc::default(),
            }),
            server,
        });
        let shared = Arc::clone(&feed);
        threads::spawn("feed", on_panic, move || shared.serve());
        Ok(feed)
    }

    /// Records a response of the store or of another entry VM. `sent_at` is when the
    /// store sent the data; `is_stale` marks data that may be older than that.
    pub fn record(&self, response: &StoreResponse, sent_at: Instant, is_stale: bool) {
        let mut state = self.lock();
        let before = state.relay.confirmed_at();
        state.relay.record(response, sent_at, is_stale);
        let has_news = state.relay.confirmed_at() > before;
        let has_pending = !state.pending.is_empty();
        drop(state);
        if has_pending && has_news {
            self.server.unblock();
        }
    }

    /// Sets whether other seeds may follow this entry VM. It must be false while this
    /// entry VM follows a seed that may itself follow it.
    pub fn set_serves_seeds(&self, serves_seeds: bool) {
        self.lock().relay.set_serves_seeds(serves_seeds);
    }

    /// Records that no source is available. Waiting requests fail immediately, so that
    /// followers can query another source.
    pub fn mark_unavailable(&self) {
        self.lock().relay.mark_unavailable();
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
        match path {
            ALL_PATH => self.handle_bulk_request(req),
            AFTER_PATH => self.handle_change_request(req, arguments),
            _ => respond(req, (404, Vec::new())),
        }
    }

    fn handle_bulk_request(&self, req: Request) {
        let state = self.lock();
        let in_progress = Arc::clone(&state.bulk);
        let is_busy = Arc::strong_count(&in_progress) > MAX_BULK_RESPONSES + 1;
        let all = (!is_busy).then(|| state.relay.all(clock::now())).flatten();
        drop(state);
        let reply = all.map_or((503, Vec::new()), |(all, age)| encode_state(all, age));
        thread::spawn(move || {
            respond(req, reply);
            drop(in_progress);
        });
    }

    fn handle_change_request(&self, req: Request, arguments: &str) {
        let parameter = |name| query::parameter(arguments, name);
        let revision = parameter("revision").and_then(|text| text.parse().ok());
        let wait_ms = parameter("wait_ms").and_then(|text| text.parse().ok());
        let from = parameter("from").and_then(|text| text.parse::<SocketAddr>().ok());
        let zone = parameter("zone").unwrap_or_default();
        let requester = Requester {
            from: from.map(Into::into),
            zone: &zone,
            is_seed: parameter("seed").is_some(),
        };
        let now = clock::now();
        let mut state = self.lock();
        match state.relay.admit(now, requester) {
            Admittance::Accepted => {
                let wait = time::Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WAIT);
                let request = ChangeRequest {
                    revision: revision.unwrap_or(0),
                    deadline: now + wait,
                    confirmed_at: state.relay.confirmed_at(),
                };
                state.pending.push(Pending { req, request });
            }
            Admittance::Redirected(to) => {
                drop(state);
                respond(req, redirect_to(to.into()));
            }
            Admittance::Refused => {
                drop(state);
                respond(req, (503, Vec::new()));
            }
        }
    }

    /// Responds to the waiting requests that have changes, an error or no time left.
    fn sweep(&self) {
        let now = clock::now();
        let mut state = self.lock();
        let mut ready = Vec::new();
        let mut at = 0;
        while at < state.pending.len() {
            let reply = match state.relay.answer(now, &state.pending[at].request) {
                Answer::Wait => {
                    at += 1;
                    continue;
                }
                Answer::Changes(response, age) => encode_state(response, age),
                Answer::Compacted => (410, Vec::new()),
                Answer::Unavailable => (503, Vec::new()),
            };
            ready.push((state.pending.swap_remove(at).req, reply));
        }
        drop(state);
        for (req, reply) in ready {
            respond(req, reply);
        }
    }
}

/// Encodes keys or changes, and the time since the store confirmed them.
fn encode_state(response: StoreResponse, age: time::Duration) -> Reply {
    encode(&FeedBody::new(response, age.as_millis()))
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
