//! Why a release note file is refused.

use std::fmt;

/// Why a release note file or record does not parse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// The file is no TOML, or has an unknown or missing key.
    Syntax(String),
    /// A value is not allowed.
    Value {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(why) => f.write_str(why.trim_end()),
            Self::Value {
                key,
                value,
                allowed,
            } => write!(f, "{key} = {value:?}: allowed is {allowed}"),
        }
    }
}

impl std::error::Error for FileError {}
