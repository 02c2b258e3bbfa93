//! Settings of a daemon whose packets name their target.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    SettingsError,
    error::{WrongValue, require},
};
use crate::planned_stop::StopLimits;

/// Everything that such a daemon is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieSettings {
    /// Always `cookie`.
    pub carrier: String,
    /// Who this entry VM is.
    pub member: NamedMember,
    /// Where it listens.
    pub listen: CookieListen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Other entry VMs to begin with, by their `listen.peer`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bounds.
    #[serde(default)]
    pub limits: CookieLimits,
}

/// Who an entry VM is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NamedMember {
    /// Its name, for logs.
    pub name: String,
    /// The name of its availability zone.
    pub zone: String,
}

/// Where a daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieListen {
    /// Packets of callers, over UDP.
    pub packets: SocketAddr,
    /// The question whether the daemon takes packets, over HTTP.
    pub ready: SocketAddr,
    /// Metrics, over HTTP.
    pub metrics: SocketAddr,
    /// Other entry VMs, over UDP.
    pub peer: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where it listens, over HTTP.
    pub address: SocketAddr,
}

/// Bounds of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CookieLimits {
    /// The most flows that are remembered; further ones go by cookie alone.
    pub flows: u32,
    /// Milliseconds for which a stopping daemon serves at least: the routers
    /// notice within two missed questions, half a second apart.
    pub stop_least_ms: u64,
    /// Milliseconds without packets after which a stopping daemon ends.
    pub stop_quiet_ms: u64,
    /// Milliseconds after which a stopping daemon ends in any case.
    pub stop_most_ms: u64,
    /// Seconds for which a flow may be open before it may be forgotten.
    pub flow_ttl_secs: u64,
    /// Log lines a second of each kind; the rest is counted.
    pub log_lines: u32,
}

impl Default for CookieLimits {
    fn default() -> Self {
        Self {
            flows: 65_536,
            stop_least_ms: 1_600,
            stop_quiet_ms: 400,
            stop_most_ms: 4_500,
            flow_ttl_secs: 60,
            log_lines: 40,
        }
    }
}

impl CookieLimits {
    /// Returns how long a planned stop takes.
    pub const fn stop_limits(&self) -> StopLimits {
        StopLimits {
            min_duration: Duration::from_millis(self.stop_least_ms),
            idle_timeout: Duration::from_millis(self.stop_quiet_ms),
            max_duration: Duration::from_millis(self.stop_most_ms),
        }
    }
}

impl CookieSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that names every key that is wrong.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))?;
        let mut wrong = Vec::new();
        settings.check(&mut wrong);
        if wrong.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Values(wrong))
        }
    }

    fn check(&self, wrong: &mut Vec<WrongValue>) {
        let mut require = |ok, key, value, allowed| require(wrong, ok, key, value, allowed);
        for (key, text) in [
            ("member.name", &self.member.name),
            ("member.zone", &self.member.zone),
        ] {
            require(!text.is_empty(), key, text.clone(), "a name");
        }
        let addresses = [
            ("listen.packets", self.listen.packets),
            ("listen.ready", self.listen.ready),
            ("listen.metrics", self.listen.metrics),
            ("listen.peer", self.listen.peer),
            ("store.address", self.store.address),
        ];
        for (key, address) in addresses {
            let named = address.is_ipv4() && !address.ip().is_unspecified() && address.port() != 0;
            let allowed = "an IPv4 number other than 0.0.0.0, and a port above 0";
            require(named, key, address.to_string(), allowed);
        }
        let l = &self.limits;
        let bounds = [
            (
                "limits.flows",
                u64::from(l.flows),
                1_000,
                16_000_000,
                "1000 to 16000000",
            ),
            (
                "limits.stop_least_ms",
                l.stop_least_ms,
                0,
                60_000,
                "0 to 60000",
            ),
            (
                "limits.stop_quiet_ms",
                l.stop_quiet_ms,
                0,
                60_000,
                "0 to 60000",
            ),
            (
                "limits.stop_most_ms",
                l.stop_most_ms,
                1,
                600_000,
                "1 to 600000",
            ),
            (
                "limits.flow_ttl_secs",
                l.flow_ttl_secs,
                1,
                86_400,
                "1 to 86400",
            ),
            (
                "limits.log_lines",
                u64::from(l.log_lines),
                1,
                100_000,
                "1 to 100000",
            ),
        ];
        for (key, value, least, most, allowed) in bounds {
            require(
                (least..=most).contains(&value),
                key,
                value.to_string(),
                allowed,
            );
        }
    }
}
