//! What can go wrong with the platform.

use std::fmt;

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer: whether the call took effect is not known.
    Unavailable(String),
    /// The service answered with a status that is not expected.
    Status(u16),
    /// The answer does not decode.
    Malformed(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "the platform did not answer: {why}"),
            Self::Status(code) => write!(f, "the platform answered with status {code}"),
            Self::Malformed(why) => write!(f, "the platform's answer does not decode: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}
