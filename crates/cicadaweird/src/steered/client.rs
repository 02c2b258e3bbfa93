//! One call of the platform's store, or of another entry VM's feed, over HTTP.

use std::{fmt, net::SocketAddr, time::Duration};

use cicadaweir_core::mirror::{Item, StoreResponse};
use cicadaweir_platform::store::{self, Event};
use cicadaweir_proto::{
    feed::{AFTER_PATH, ALL_PATH, FeedBody},
    query::escape,
};
use ureq::Agent;

/// How long a connection may take: several times the store's usual answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the answer to a read may take to begin: a store that is fifty
/// times slower than its usual 4 ms is still served from.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the body of a read may take: hundreds of entry VMs that start at
/// once share the store's link, and a megabyte takes a second at 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a watch may take beyond the wait that it asks for.
const WATCH_SLACK: Duration = Duration::from_millis(500);

/// The largest answer, in bytes: 500 items or 1 MB of values in base64.
const MOST_BYTES: u64 = 4 << 20;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No answer: whether the call took effect is not known.
    Unavailable(String),
    /// The store answered that it does not serve now.
    Status(u16),
    /// The answer does not decode.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "no answer: {why}"),
            Self::Status(code) => write!(f, "status {code}"),
            Self::Malformed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for StoreError {}

/// A client of the store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    agent: Agent,
    address: SocketAddr,
}

/// What another entry VM has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedAnswer {
    /// Keys or changes.
    pub answer: StoreResponse,
    /// How long ago the store was heard.
    pub age: Duration,
    /// Another entry VM to ask from now on.
    pub instead: Option<SocketAddr>,
}

/// A client of other entry VMs.
#[derive(Debug, Clone)]
pub struct FeedClient {
    agent: Agent,
    own: SocketAddr,
    zone: String,
}

/// What is asked of another entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedWatch {
    /// The revision after which changes are wanted.
    pub after: u64,
    /// How long the other may wait.
    pub wait: Duration,
    /// Whether a seed asks, which tells many others.
    pub is_seed: bool,
}

impl FeedClient {
    /// Makes a client for the entry VM in the named availability zone whose own
    /// feed is at `own`.
    pub fn new(own: SocketAddr, zone: &str) -> Self {
        Self {
            agent: agent(),
            own,
            zone: zone.to_owned(),
        }
    }

    /// Reads all keys that another entry VM knows.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if it did not answer, or knows nothing recent.
    pub fn all(&self, peer: SocketAddr) -> Result<FeedAnswer, StoreError> {
        let url = format!("http://{peer}{ALL_PATH}");
        let body = self.feed(&url, READ_TIMEOUT)?;
        let (age, as_of) = (Duration::from_millis(body.age_ms), body.as_of);
        Ok(FeedAnswer {
            answer: StoreResponse::Page {
                items: body.into_items().map_err(StoreError::Malformed)?,
                has_more: false,
                as_of,
            },
            age,
            instead: None,
        })
    }

    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if it did not answer, or knows nothing recent.
    pub fn after(&self, peer: SocketAddr, watch: FeedWatch) -> Result<FeedAnswer, StoreError> {
        let (revision, wait_ms) = (watch.after, watch.wait.as_millis());
        let (own, zone) = (self.own, escape(&self.zone));
        let mut url = format!(
            "http://{peer}{AFTER_PATH}?revision={revision}&wait_ms={wait_ms}&from={own}&zone={zone}"
        );
        if watch.is_seed {
            url.push_str("&seed=1");
        }
        let body = match self.feed(&url, watch.wait + WATCH_SLACK) {
            Err(StoreError::Status(410)) => {
                return Ok(FeedAnswer {
                    answer: StoreResponse::Compacted,
                    age: Duration::ZERO,
                    instead: None,
                });
            }
            body => body?,
        };
        let (age, as_of) = (Duration::from_millis(body.age_ms), body.as_of);
        let instead = body.instead.as_deref().and_then(|text| text.parse().ok());
        Ok(FeedAnswer {
            answer: StoreResponse::Events {
                items: body.into_items().map_err(StoreError::Malformed)?,
                as_of,
            },
            age,
            instead,
        })
    }

    fn feed(&self, url: &str, timeout: Duration) -> Result<FeedBody, StoreError> {
        let (status, body) = get(&self.agent, url, timeout)?;
        if status != 200 {
            return Err(StoreError::Status(status));
        }
        serde_json::from_slice(&body).map_err(|err| StoreError::Malformed(err.to_string()))
    }
}

impl StoreClient {
    /// Makes a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            agent: agent(),
            address,
        }
    }

    /// Reads a page of keys.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer, or not sensibly.
    pub fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        stale: bool,
    ) -> Result<StoreResponse, StoreError> {
        let path = store::range_path(prefix, after, stale);
        let (status, body) = self.get(&path, READ_TIMEOUT)?;
        if status != 200 {
            return Err(StoreError::Status(status));
        }
        let page = store::decode_page(&body).map_err(malformed)?;
        Ok(StoreResponse::Page {
            items: page.items.into_iter().map(written).collect(),
            has_more: page.has_more,
            as_of: page.as_of,
        })
    }

    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer, or not sensibly.
    pub fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let path = store::watch_path(prefix, after, wait.as_millis() as u64);
        let (status, body) = self.get(&path, wait + WATCH_SLACK)?;
        match status {
            200 => {}
            410 => return Ok(StoreResponse::Compacted),
            status => return Err(StoreError::Status(status)),
        }
        let events = store::decode_events(&body).map_err(malformed)?;
        Ok(StoreResponse::Events {
            items: events.events.into_iter().map(changed).collect(),
            as_of: events.as_of,
        })
    }

    fn get(&self, path: &str, timeout: Duration) -> Result<(u16, Vec<u8>), StoreError> {
        get(
            &self.agent,
            &format!("http://{}{path}", self.address),
            timeout,
        )
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_send_request(Some(CONNECT_TIMEOUT))
        .timeout_recv_body(Some(BODY_TIMEOUT))
        .max_idle_connections(1)
        .build();
    config.into()
}

fn get(agent: &Agent, url: &str, timeout: Duration) -> Result<(u16, Vec<u8>), StoreError> {
    let req = agent.get(url).config();
    let req = req.timeout_recv_response(Some(timeout)).build();
    let mut response = req.call().map_err(unavailable)?;
    let status = response.status().as_u16();
    let reader = response.body_mut().with_config().limit(MOST_BYTES);
    let body = reader.read_to_vec().map_err(unavailable)?;
    Ok((status, body))
}

fn unavailable(err: ureq::Error) -> StoreError {
    StoreError::Unavailable(err.to_string())
}

fn malformed(err: store::ResponseError) -> StoreError {
    StoreError::Malformed(err.to_string())
}

fn written(item: store::Item) -> Item {
    Item {
        key: item.key,
        value: Some(item.value),
        revision: item.revision,
    }
}

fn changed(event: Event) -> Item {
    match event {
        Event::Written(item) => written(item),
        Event::Removed { key, revision } => Item {
            key,
            value: None,
            revision,
        },
    }
}
