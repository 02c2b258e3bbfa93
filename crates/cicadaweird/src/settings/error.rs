//! Errors of reading and validating a settings file.

use std::fmt;

/// Why a settings file was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// The path.
        path: String,
        /// The operating system's error message.
        reason: String,
    },
    /// The file is not valid TOML, or has an unknown or missing key.
    Syntax(String),
    /// All values that are not allowed.
    Values(Vec<InvalidValue>),
}

/// A value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// The key with its table, or the name of an environment variable.
    pub key: &'static str,
    /// The value.
    pub value: String,
    /// The allowed values, in words.
    pub expected: &'static str,
}

/// Adds a value to `invalid` unless it is `ok`.
pub(super) fn require(
    invalid: &mut Vec<InvalidValue>,
    ok: bool,
    key: &'static str,
    value: String,
    expected: &'static str,
) {
    if !ok {
        invalid.push(InvalidValue {
            key,
            value,
            expected,
        });
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, reason } => write!(f, "{path}: {reason}"),
            Self::Syntax(reason) => f.write_str(reason.trim_end()),
            Self::Values(invalid) => {
                for (at, value) in invalid.iter().enumerate() {
                    if at > 0 {
                        f.write_str("\n")?;
                    }
                    write!(
                        f,
                        "{} = {:?}: expected {}",
                        value.key, value.value, value.expected
                    )?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}
