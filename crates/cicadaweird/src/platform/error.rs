//! Errors of calls to the platform.

use std::fmt;

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// No response; it is unknown whether the call took effect.
    Unavailable(String),
    /// The service answered with an unexpected HTTP status.
    Status(u16),
    /// The response could not be decoded, or a value that must exist is missing.
    Malformed(String),
}

impl PlatformError {
    /// Returns the kind of the error in logs.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Unavailable(_) | Self::Status(_) => "store_unavailable",
            Self::Malformed(_) => "store_malformed",
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "the platform did not answer: {reason}"),
            Self::Status(code) => write!(f, "the platform answered with unexpected status {code}"),
            Self::Malformed(reason) => write!(f, "invalid data from the platform: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}
