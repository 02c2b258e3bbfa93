//! Why a settings file is refused.

use std::fmt;

/// One or more things that are wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// The path.
        path: String,
        /// The operating system's words.
        why: String,
    },
    /// The file is no TOML, or has an unknown or missing key.
    Syntax(String),
    /// Values that are not allowed, all of them.
    Values(Vec<WrongValue>),
}

/// A value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WrongValue {
    /// The key, with its table.
    pub key: &'static str,
    /// The value.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Notes a value that is not allowed.
pub(super) fn require(
    wrong: &mut Vec<WrongValue>,
    ok: bool,
    key: &'static str,
    value: String,
    allowed: &'static str,
) {
    if !ok {
        wrong.push(WrongValue {
            key,
            value,
            allowed,
        });
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, why } => write!(f, "{path}: {why}"),
            Self::Syntax(why) => f.write_str(why.trim_end()),
            Self::Values(wrong) => {
                for (at, value) in wrong.iter().enumerate() {
                    if at > 0 {
                        f.write_str("\n")?;
                    }
                    write!(
                        f,
                        "{} = {:?}: allowed is {}",
                        value.key, value.value, value.allowed
                    )?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}
