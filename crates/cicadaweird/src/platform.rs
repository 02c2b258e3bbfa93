//! Clients of the platform's key-value store and membership list.

mod error;
mod follow;
mod http;

use cicadaweir_proto::list::ListRecord;

pub use error::PlatformError;
pub use follow::{Shared, follow_list, follow_store, read_snapshot};
pub use http::HttpPlatform;

use std::time::Duration;

/// A value with its version; the versions of a key only increase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The version, above 0.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap {
    /// The value was written under this version.
    Written(u64),
    /// The key has a version other than the expected one; nothing was written.
    Conflict,
}

/// The platform's key-value service and membership list.
pub trait Platform: Send {
    /// Reads a key; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the service did not answer or the response
    /// is invalid.
    fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError>;

    /// Reads a key as soon as its version is above `after`, or its current
    /// value after `wait`; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the service did not answer or the response
    /// is invalid.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, PlatformError>;

    /// Writes a key if it still has the expected version; an `expected` of 0
    /// means that the key must not exist.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the service did not answer or the response
    /// is invalid; the write may still have taken effect.
    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<Swap, PlatformError>;

    /// Reads the membership list.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the service did not answer or the response
    /// is invalid.
    fn members(&self) -> Result<Vec<ListRecord>, PlatformError>;
}
