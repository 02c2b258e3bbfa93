//! How an entry VM tells another what it knows of the store, as JSON over
//! HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `GET /feed/all` | all keys |
//! | `GET /feed/after?revision=R&wait_ms=W&from=IP:PORT&zone=NAME` | changes after R, or none after W ms |
//!
//! `seed=1` marks a caller that tells many others: it is never sent on. 410
//! stands for changes that are no longer kept, 503 for an entry VM that knows
//! nothing recent itself, or that is told by the calling seed.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use cicadaweir_core::mirror::{Item, StoreResponse};
use serde::{Deserialize, Serialize};

/// The path for all keys.
pub const ALL_PATH: &str = "/feed/all";

/// The path for changes.
pub const AFTER_PATH: &str = "/feed/after";

/// The body of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedBody {
    /// Keys or changes.
    pub items: Vec<FeedItem>,
    /// The store's revision up to which they are complete.
    pub as_of: u64,
    /// Milliseconds since the store, or somebody who had asked it, was heard.
    pub age_ms: u64,
    /// Another entry VM to ask from now on, as `IP:PORT`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instead: Option<String>,
}

/// One key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedItem {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The value in base64; absent if the key was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

impl FeedBody {
    /// Makes the body for an answer out of a log.
    pub fn new(answer: StoreResponse, age_ms: u64) -> Self {
        let (items, as_of) = match answer {
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

    /// Returns the keys or changes.
    ///
    /// # Errors
    ///
    /// The key whose value is no base64.
    pub fn into_items(self) -> Result<Vec<Item>, String> {
        let items = self.items.into_iter();
        items
            .map(|item| {
                let value = item.value.map(|text| STANDARD.decode(text)).transpose();
                Ok(Item {
                    value: value.map_err(|_| item.key.clone())?,
                    key: item.key,
                    revision: item.revision,
                })
            })
            .collect()
    }
}
