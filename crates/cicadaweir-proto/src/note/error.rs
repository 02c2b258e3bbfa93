//! Errors of parsing release notes.

use std::fmt;

/// A release note file or record cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// Invalid TOML or JSON, or an unknown or missing key.
    Syntax(String),
    /// A key has an invalid value.
    Value {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(reason) => f.write_str(reason.trim_end()),
            Self::Value {
                key,
                value,
                expected,
            } => write!(f, "{key} = {value:?}: expected {expected}"),
        }
    }
}

impl std::error::Error for FileError {}
