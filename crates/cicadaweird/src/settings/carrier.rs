//! Which way packets come to an entry VM.

use serde::Deserialize;

use super::{CookieSettings, Settings, SettingsError};

/// The settings of a daemon, by the carrier of its packets.
#[derive(Debug, Clone, PartialEq)]
pub enum Carrier {
    /// Packets in Geneve, which don't name their target.
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

#[derive(Debug, Deserialize)]
struct Head {
    #[serde(default)]
    carrier: Kind,
}

impl Carrier {
    /// Reads and checks a settings file of either kind. In one for Geneve the
    /// environment variables `CICADAWEIR_MEMBER_ID`, `CICADAWEIR_MEMBER_ZONE`
    /// and `CICADAWEIR_HASH_KEY` go before the file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that names every key that is wrong.
    pub fn load(path: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|err| SettingsError::Unreadable {
            path: path.to_owned(),
            why: err.to_string(),
        })?;
        Self::parse(&text, |name| std::env::var(name).ok())
    }

    /// Parses and checks settings; `env` looks up environment variables.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that names every key that is wrong.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, SettingsError> {
        let head: Head =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))?;
        match head.carrier {
            Kind::Geneve => Settings::parse(text, env).map(|s| Self::Geneve(Box::new(s))),
            Kind::Cookie => CookieSettings::parse(text).map(|s| Self::Cookie(Box::new(s))),
        }
    }
}
