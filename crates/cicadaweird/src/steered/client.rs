//! HTTP clients of the platform's store and of other entry VMs' feeds.

use std::{fmt, net::SocketAddr, time::Duration};

use cicadaweir_core::mirror::{self, Item, StoreResponse};
use cicadaweir_platform::{
    records,
    store::{self, Event},
};
use cicadaweir_proto::{
    feed::{AFTER_PATH, ALL_PATH, FeedBody},
    query::percent_encode,
};
use ureq::Agent;

use super::changes::{Rejection, RejectionKind};

/// Timeouts of the requests of a client.
///
/// The sum of the timeouts of one request is the longest time for which a source that has
/// gone silent delays a change; it has to be well below the time in which a change must
/// be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The timeout of connecting and of sending a request: several times the store's
    /// usual response time.
    pub connect: Duration,
    /// The timeout for the response headers of a read. The store usually responds
    /// within 4 ms; one that is fifty times slower is still usable.
    pub read: Duration,
    /// The timeout for the response headers of a watch, on top of the requested wait.
    pub watch_margin: Duration,
    /// The longest time without a byte of the body, if that is longer than the timeout
    /// for the headers: time for a segment to be lost twice. A connection that has gone
    /// silent looks the same.
    pub body_silence: Duration,
    /// The timeout for a response body. Hundreds of entry VMs that start at the same
    /// time share the store's link, and a megabyte takes a second at 10 Mbit/s.
    pub body: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            read: Duration::from_millis(1_500),
            watch_margin: Duration::from_micros(mirror::CALL_TIMEOUT.as_micros()),
            body_silence: Duration::from_millis(1_000),
            body: Duration::from_secs(10),
        }
    }
}

/// The largest response body in bytes. A page holds at most 500 items or 1 MB of
/// values, in base64.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// An error of a request to the store or to another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No response arrived; the cause is given. Whether the request took effect is
    /// unknown.
    Unavailable(String),
    /// The response has an unexpected status code.
    Status(u16),
    /// The response can't be decoded, or is too old; the cause is given.
    Malformed(String),
    /// The response body has more bytes than the given limit.
    TooLarge(u64),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "no response: {why}"),
            Self::Status(code) => write!(f, "unexpected status {code}"),
            Self::Malformed(why) => f.write_str(why),
            Self::TooLarge(limit) => {
                write!(f, "response body too large, expected at most {limit} bytes")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// A response of the store, with the items that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// The response without these items.
    pub response: StoreResponse,
    /// The items that can't be decoded.
    pub rejected: Vec<Rejection>,
}

impl StoreAnswer {
    /// Decodes the response body of a range read.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] if the body as a whole can't be decoded.
    pub fn from_page(body: &[u8]) -> Result<Self, StoreError> {
        let page = store::decode_page(body).map_err(malformed)?;
        Ok(Self {
            response: StoreResponse::Page {
                items: page.items.into_iter().map(item_from).collect(),
                has_more: page.has_more,
                as_of: page.as_of,
            },
            rejected: page.skipped.into_iter().map(rejection).collect(),
        })
    }

    /// Decodes the response body of a watch.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] if the body as a whole can't be decoded.
    pub fn from_events(body: &[u8]) -> Result<Self, StoreError> {
        let events = store::decode_events(body).map_err(malformed)?;
        Ok(Self {
            response: StoreResponse::Events {
                items: events.events.into_iter().map(item_from_event).collect(),
                as_of: events.as_of,
            },
            rejected: events.skipped.into_iter().map(rejection).collect(),
        })
    }
}

/// A client of the store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
}

/// The response of another entry VM's feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedResponse {
    /// The keys or changes, as the store would return them.
    pub response: StoreResponse,
    /// The time since the store sent the data.
    pub age: Duration,
    /// Another entry VM to query from now on instead.
    pub redirect: Option<SocketAddr>,
}

/// A client of other entry VMs' feeds.
#[derive(Debug, Clone)]
pub struct FeedClient {
    http: HttpClient,
    own_address: SocketAddr,
    zone: String,
}

/// The arguments of a watch of another entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedWatch {
    /// The revision after which changes are wanted.
    pub after: u64,
    /// The longest time that the other entry VM waits for changes.
    pub wait: Duration,
    /// Whether the querying entry VM is a seed, which serves many others and is not
    /// redirected.
    pub is_seed: bool,
}

impl FeedClient {
    /// Creates a client for the entry VM in the named availability zone whose own
    /// feed is at `own_address`.
    pub fn new(own_address: SocketAddr, zone: &str, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(timeouts),
            own_address,
            zone: zone.to_owned(),
        }
    }

    /// Reads all keys that another entry VM knows.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the entry VM did not respond, or has no recent view
    /// of the store.
    pub fn read_all(&self, peer: SocketAddr) -> Result<FeedResponse, StoreError> {
        let url = format!("http://{peer}{ALL_PATH}");
        let body = self.get(&url, self.http.timeouts.read)?;
        let (age, as_of) = (Duration::from_millis(body.age_ms), body.as_of);
        Ok(FeedResponse {
            response: StoreResponse::Page {
                items: body.into_items().map_err(StoreError::Malformed)?,
                has_more: false,
                as_of,
            },
            age,
            redirect: None,
        })
    }

    /// Waits for changes after a revision. The response may be a redirect.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the entry VM did not respond, or has no recent view
    /// of the store.
    pub fn watch(&self, peer: SocketAddr, watch: FeedWatch) -> Result<FeedResponse, StoreError> {
        let (revision, wait_ms) = (watch.after, watch.wait.as_millis());
        let (from, zone) = (self.own_address, percent_encode(&self.zone));
        let mut url = format!(
            "http://{peer}{AFTER_PATH}?revision={revision}&wait_ms={wait_ms}&from={from}&zone={zone}"
        );
        if watch.is_seed {
            url.push_str("&seed=1");
        }
        let body = match self.get(&url, self.http.timeouts.of_watch(watch.wait)) {
            Err(StoreError::Status(410)) => {
                return Ok(FeedResponse {
                    response: StoreResponse::Compacted,
                    age: Duration::ZERO,
                    redirect: None,
                });
            }
            body => body?,
        };
        let (age, as_of) = (Duration::from_millis(body.age_ms), body.as_of);
        let redirect = body.instead.as_deref().and_then(|text| text.parse().ok());
        Ok(FeedResponse {
            response: StoreResponse::Events {
                items: body.into_items().map_err(StoreError::Malformed)?,
                as_of,
            },
            age,
            redirect,
        })
    }

    fn get(&self, url: &str, timeout: Duration) -> Result<FeedBody, StoreError> {
        let (status, body) = self.http.get(url, timeout)?;
        if status != 200 {
            return Err(StoreError::Status(status));
        }
        serde_json::from_slice(&body).map_err(|err| StoreError::Malformed(err.to_string()))
    }
}

impl StoreClient {
    /// Creates a client of the store at `address`. It connects on the first request.
    pub fn new(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self {
            http: HttpClient::new(timeouts),
            address,
        }
    }

    /// Reads a page of the keys that begin with `prefix` and sort after `after`.
    /// `stale` allows a response that is seconds old.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store did not respond, or not as expected.
    pub fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        stale: bool,
    ) -> Result<StoreAnswer, StoreError> {
        let path = store::range_path(prefix, after, stale);
        let (status, body) = self.get(&path, self.http.timeouts.read)?;
        if status != 200 {
            return Err(StoreError::Status(status));
        }
        StoreAnswer::from_page(&body)
    }

    /// Waits up to `wait` for changes of the keys that begin with `prefix` after a
    /// revision.
    ///
    /// Changes that are too large for one response count as compacted: a watch after
    /// the same revision would fail again, while a read of all keys has pages.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store did not respond, or not as expected.
    pub fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let path = store::watch_path(prefix, after, wait.as_millis() as u64);
        let compacted = |rejected| StoreAnswer {
            response: StoreResponse::Compacted,
            rejected,
        };
        let (status, body) = match self.get(&path, self.http.timeouts.of_watch(wait)) {
            Err(err @ StoreError::TooLarge(_)) => {
                let rejection = Rejection {
                    kind: RejectionKind::Item,
                    key: None,
                    reason: err.to_string(),
                };
                return Ok(compacted(vec![rejection]));
            }
            result => result?,
        };
        match status {
            200 => {}
            410 => return Ok(compacted(Vec::new())),
            status => return Err(StoreError::Status(status)),
        }
        StoreAnswer::from_events(&body)
    }

    fn get(&self, path: &str, timeout: Duration) -> Result<(u16, Vec<u8>), StoreError> {
        let url = format!("http://{}{path}", self.address);
        self.http.get(&url, timeout)
    }
}

impl Timeouts {
    /// Returns the timeout for the response headers of a watch that waits for changes.
    fn of_watch(&self, wait: Duration) -> Duration {
        wait + self.watch_margin
    }
}

/// Sends requests and reads whole responses, each within the timeouts.
#[derive(Debug, Clone)]
struct HttpClient {
    agent: Agent,
    timeouts: Timeouts,
}

impl HttpClient {
    fn new(timeouts: Timeouts) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(timeouts.connect))
            .timeout_send_request(Some(timeouts.connect))
            .timeout_recv_body(Some(timeouts.body))
            .max_idle_connections(1)
            .build();
        Self {
            agent: config.into(),
            timeouts,
        }
    }

    /// Returns the status and the body of a response whose headers arrive within
    /// `timeout`.
    fn get(&self, url: &str, timeout: Duration) -> Result<(u16, Vec<u8>), StoreError> {
        let req = self.agent.get(url).config();
        let req = req
            .timeout_recv_response(Some(timeout))
            .timeout_per_read(Some(timeout.max(self.timeouts.body_silence)))
            .build();
        let mut response = req.call().map_err(unavailable)?;
        let status = response.status().as_u16();
        let reader = response.body_mut().with_config().limit(MAX_BODY_BYTES);
        let body = reader.read_to_vec().map_err(|err| match err {
            ureq::Error::BodyExceedsLimit(limit) => StoreError::TooLarge(limit),
            err => unavailable(err),
        })?;
        Ok((status, body))
    }
}

fn unavailable(err: ureq::Error) -> StoreError {
    StoreError::Unavailable(err.to_string())
}

fn malformed(err: store::ResponseError) -> StoreError {
    StoreError::Malformed(err.to_string())
}

fn rejection(skipped: store::SkippedItem) -> Rejection {
    Rejection {
        kind: RejectionKind::Item,
        key: skipped.key,
        reason: skipped.reason,
    }
}

/// Returns an item as the core keeps it: values that no decoder accepts don't take
/// up memory, here and at the entry VMs that follow this one.
fn item_from(item: store::Item) -> Item {
    let value = if records::is_relevant(&item.key, &item.value) {
        item.value
    } else {
        Vec::new()
    };
    Item {
        key: item.key,
        value: Some(value.into()),
        revision: item.revision,
    }
}

fn item_from_event(event: Event) -> Item {
    match event {
        Event::Written(item) => item_from(item),
        Event::Removed { key, revision } => Item {
            key,
            value: None,
            revision,
        },
    }
}
