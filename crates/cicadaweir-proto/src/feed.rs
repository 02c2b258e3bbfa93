//! Replication of the store's contents from one entry VM to another, as JSON
//! over HTTP.
//!
//! | request | response |
//! |---|---|
//! | `GET /feed/all` | all keys |
//! | `GET /feed/after?revision=R&wait_ms=W&from=IP:PORT&zone=NAME` | changes after R, or an empty list after W ms |
//!
//! `seed=1` marks a requester that is a seed, which serves many other entry VMs:
//! it is never redirected. Status 410 means that changes after R are no longer
//! available. Status 503 means that the entry VM has no recent data itself, that it
//! is sending all keys to too many requesters, or that both are seeds and might
//! read from each other.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use cicadaweir_core::mirror::{Item, StoreResponse, Value};
use serde::{Deserialize, Serialize};

/// The path that returns all keys.
pub const ALL_PATH: &str = "/feed/all";

/// The path that returns changes after a revision.
pub const AFTER_PATH: &str = "/feed/after";

/// The body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedBody {
    /// Keys or changes.
    pub items: Vec<FeedItem>,
    /// The store revision up to which the items are complete.
    pub as_of: u64,
    /// The time in milliseconds since the store last answered the sender, directly
    /// or through other entry VMs.
    pub age_ms: u64,
    /// Another entry VM that the requester should use from now on, as `IP:PORT`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instead: Option<String>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedItem {
    /// The key.
    pub key: String,
    /// The revision of the last change.
    pub revision: u64,
    /// The value in base64, or `None` if the key was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

impl FeedBody {
    /// Creates a body from a response of the store or of the change log.
    pub fn new(response: StoreResponse, age_ms: u64) -> Self {
        let (items, as_of) = match response {
            StoreResponse::Page { items, as_of, .. } | StoreResponse::Events { items, as_of } => {
                (items, as_of)
            }
            StoreResponse::Compacted | StoreResponse::Failed => (Vec::new(), 0),
        };
        let items = items.into_iter().map(|item| FeedItem {
            key: item.key,
            revision: item.revision,
            value: item.value.map(|value| STANDARD.encode(value)),
        });
        Self {
            items: items.collect(),
            as_of,
            age_ms,
            instead: None,
        }
    }

    /// Returns the items with decoded values.
    ///
    /// # Errors
    ///
    /// Returns the key whose value is not valid base64.
    pub fn into_items(self) -> Result<Vec<Item>, String> {
        let items = self.items.into_iter();
        items
            .map(|item| {
                let value = item.value.map(|text| STANDARD.decode(text)).transpose();
                Ok(Item {
                    value: value.map_err(|_| item.key.clone())?.map(Value::from),
                    key: item.key,
                    revision: item.revision,
                })
            })
            .collect()
    }
}
