//! An HTTP client of the platform.
//!
//! | request | response |
//! |---|---|
//! | `GET /kv/KEY` | the value, its version in header [`VERSION_HEADER`]; 404 if the key does not exist |
//! | `GET /kv/KEY?after=V&wait_ms=N` | the same, as soon as the version is above V or after N ms |
//! | `PUT /kv/KEY?expected=V` | 200 with the new version, or 409 if the version is not V |
//! | `GET /members` | the membership list |

use std::{net::SocketAddr, time::Duration};

use cicadaweir_proto::list::{self, ListRecord};
use ureq::{Agent, Body, http::Response};

use super::{Platform, PlatformError, Swap, Versioned};

/// The response header with a value's version.
pub const VERSION_HEADER: &str = "kv-version";

/// The timeout of a call; a watch adds its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The largest response body, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// A client of the platform's HTTP services.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    agent: Agent,
    store: SocketAddr,
    list: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client for the store and the membership list at these
    /// addresses. It connects on the first request.
    pub fn new(store: SocketAddr, list: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            store,
            list,
        }
    }

    fn get_with_timeout(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<Option<Versioned>, PlatformError> {
        let req = self.agent.get(url).config();
        let req = req.timeout_global(Some(timeout)).build();
        let mut response = req.call().map_err(unavailable)?;
        match response.status().as_u16() {
            200 => Ok(Some(Versioned {
                version: response_version(&response)?,
                value: read_body(&mut response)?,
            })),
            404 => Ok(None),
            code => Err(PlatformError::Status(code)),
        }
    }
}

impl Platform for HttpPlatform {
    fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError> {
        self.get_with_timeout(&format!("http://{}/kv/{key}", self.store), CALL_TIMEOUT)
    }

    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, PlatformError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "http://{}/kv/{key}?after={after}&wait_ms={wait_ms}",
            self.store
        );
        self.get_with_timeout(&url, wait + CALL_TIMEOUT)
    }

    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<Swap, PlatformError> {
        let url = format!("http://{}/kv/{key}?expected={expected}", self.store);
        let response = self.agent.put(&url).send(value).map_err(unavailable)?;
        match response.status().as_u16() {
            200 => Ok(Swap::Written(response_version(&response)?)),
            409 => Ok(Swap::Conflict),
            code => Err(PlatformError::Status(code)),
        }
    }

    fn members(&self) -> Result<Vec<ListRecord>, PlatformError> {
        let url = format!("http://{}/members", self.list);
        let mut response = self.agent.get(&url).call().map_err(unavailable)?;
        if response.status().as_u16() != 200 {
            return Err(PlatformError::Status(response.status().as_u16()));
        }
        let bytes = read_body(&mut response)?;
        list::from_json(&bytes).map_err(|err| PlatformError::Malformed(err.to_string()))
    }
}

fn unavailable(err: ureq::Error) -> PlatformError {
    PlatformError::Unavailable(err.to_string())
}

fn response_version(response: &Response<Body>) -> Result<u64, PlatformError> {
    let header = response.headers().get(VERSION_HEADER);
    header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| PlatformError::Malformed(format!("no valid {VERSION_HEADER} header")))
}

fn read_body(response: &mut Response<Body>) -> Result<Vec<u8>, PlatformError> {
    let reader = response.body_mut().with_config().limit(MAX_BODY_BYTES);
    reader.read_to_vec().map_err(unavailable)
}
