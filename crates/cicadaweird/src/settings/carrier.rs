//! The carrier of the packets that reach an entry VM, and the settings for it.

use serde::Deserialize;

use super::{CookieSettings, Settings, SettingsError};

/// The settings of a daemon, by the carrier of the packets it receives.
#[derive(Debug, Clone, PartialEq)]
pub enum Carrier {
    /// Packets in a Geneve tunnel, which do not name their target.
    Geneve(Box<Settings>),
    /// Packets that name their target in a cookie.
    Cookie(Box<CookieSettings>),
}

/// The values of the key `carrier`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    #[default]
    Geneve,
    Cookie,
}

/// The key `carrier` of a settings file; other keys are ignored.
#[derive(Debug, Deserialize)]
struct Head {
    #[serde(default)]
    carrier: Kind,
}

impl Carrier {
    /// Reads and validates a settings file for either carrier. With Geneve, the
    /// environment variables `CICADAWEIR_MEMBER_ID`, `CICADAWEIR_MEMBER_ZONE`
    /// and `CICADAWEIR_HASH_KEY` override the file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file can't be read or parsed, or with all
    /// invalid values.
    pub fn load(path: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|err| SettingsError::Unreadable {
            path: path.to_owned(),
            reason: err.to_string(),
        })?;
        Self::parse(&text, |name| std::env::var(name).ok())
    }

    /// Parses and validates settings; `env` looks up environment variables.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if `text` can't be parsed, or with all invalid
    /// values.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, SettingsError> {
        let head: Head =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))?;
        match head.carrier {
            Kind::Geneve => Settings::parse(text, env).map(|s| Self::Geneve(Box::new(s))),
            Kind::Cookie => CookieSettings::parse(text).map(|s| Self::Cookie(Box::new(s))),
        }
    }
}
