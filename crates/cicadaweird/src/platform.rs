//! The platform's services, behind one trait.

mod error;
mod follow;
mod http;

use cicadaweir_proto::list::ListRecord;

pub use error::PlatformError;
pub use follow::{Shared, follow_list, follow_store, read_snapshot};
pub use http::HttpPlatform;

use std::time::Duration;

/// A value with its version; versions of a key only grow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The version, above 0.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What a compare-and-swap came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap {
    /// The value was written under this version.
    Written(u64),
    /// The key has another version.
    Conflict,
}

/// The platform's key-value service and membership list.
pub trait Platform: Send {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the service did not answer, or not sensibly.
    fn get(&self, key: &str) -> Result<Option<Versioned>, PlatformError>;

    /// Reads a key once it has a later version than `after`; the current
    /// value when the wait is over.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the service did not answer, or not sensibly.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, PlatformError>;

    /// Writes a key if it still has the expected version; 0 stands for a key
    /// that does not exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; the write may have taken effect all the same.
    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<Swap, PlatformError>;

    /// Reads the membership list.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the service did not answer, or not sensibly.
    fn members(&self) -> Result<Vec<ListRecord>, PlatformError>;
}
