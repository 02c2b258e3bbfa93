//! Settings of a daemon whose packets name their target in a cookie.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    SettingsError,
    error::{InvalidValue, require},
};
use crate::planned_stop::StopLimits;

/// The settings file for the cookie carrier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieSettings {
    /// Always `cookie`.
    pub carrier: String,
    /// The identity of this entry VM.
    pub member: NamedMember,
    /// The addresses that the daemon listens on.
    pub listen: CookieListen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Addresses (`listen.peer`) of the entry VMs that read the store on behalf of
    /// the others; may include this entry VM.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits and timeouts.
    #[serde(default)]
    pub limits: CookieLimits,
}

/// The identity of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NamedMember {
    /// The name of the entry VM, for logs.
    pub name: String,
    /// The name of its availability zone.
    pub zone: String,
}

/// The addresses that a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieListen {
    /// For packets from callers, over UDP.
    pub packets: SocketAddr,
    /// For readiness checks, over HTTP.
    pub ready: SocketAddr,
    /// For metrics, over HTTP.
    pub metrics: SocketAddr,
    /// For other entry VMs, over HTTP.
    pub peer: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The address of its HTTP service.
    pub address: SocketAddr,
}

/// Limits and timeouts of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CookieLimits {
    /// The most flows in the flow table; the packets of further flows are routed
    /// by their cookie alone.
    pub flows: u32,
    /// Milliseconds for which a stopping daemon serves at least. The routers
    /// need two failed readiness checks, half a second apart, to detect the
    /// stop.
    pub stop_least_ms: u64,
    /// Milliseconds without packets after which a stopping daemon exits.
    pub stop_quiet_ms: u64,
    /// Milliseconds after which a stopping daemon exits in any case.
    pub stop_most_ms: u64,
    /// Seconds without packets after which an open flow may be evicted from the
    /// flow table; a longer idle timeout in the store's routes takes precedence.
    pub flow_ttl_secs: u64,
    /// Log lines per second of each kind; further lines are only counted.
    pub log_lines: u32,
    /// Whether openings are refused that targets would not answer in time.
    pub refuse: bool,
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
            refuse: true,
        }
    }
}

impl CookieLimits {
    /// Returns the bounds on the duration of a planned stop.
    pub const fn stop_limits(&self) -> StopLimits {
        StopLimits {
            min_duration: Duration::from_millis(self.stop_least_ms),
            idle_timeout: Duration::from_millis(self.stop_quiet_ms),
            max_duration: Duration::from_millis(self.stop_most_ms),
        }
    }
}

impl CookieSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if `text` can't be parsed, or with all invalid
    /// values.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))?;
        let mut invalid = Vec::new();
        settings.check(&mut invalid);
        if invalid.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Values(invalid))
        }
    }

    fn check(&self, invalid: &mut Vec<InvalidValue>) {
        let mut require = |ok, key, value, expected| require(invalid, ok, key, value, expected);
        for (key, text) in [
            ("member.name", &self.member.name),
            ("member.zone", &self.member.zone),
        ] {
            require(
                !text.is_empty(),
                key,
                text.clone(),
                "a name that is not empty",
            );
        }
        let addresses = [
            ("listen.packets", self.listen.packets),
            ("listen.ready", self.listen.ready),
            ("listen.metrics", self.listen.metrics),
            ("listen.peer", self.listen.peer),
            ("store.address", self.store.address),
        ];
        for (key, address) in addresses {
            let specified =
                address.is_ipv4() && !address.ip().is_unspecified() && address.port() != 0;
            let expected = "an IPv4 address other than 0.0.0.0, and a port above 0";
            require(specified, key, address.to_string(), expected);
        }
        let limits = &self.limits;
        let bounds = [
            (
                "limits.flows",
                u64::from(limits.flows),
                1_000,
                16_000_000,
                "1000 to 16000000",
            ),
            (
                "limits.stop_least_ms",
                limits.stop_least_ms,
                0,
                60_000,
                "0 to 60000",
            ),
            (
                "limits.stop_quiet_ms",
                limits.stop_quiet_ms,
                0,
                60_000,
                "0 to 60000",
            ),
            (
                "limits.stop_most_ms",
                limits.stop_most_ms,
                1,
                600_000,
                "1 to 600000",
            ),
            (
                "limits.flow_ttl_secs",
                limits.flow_ttl_secs,
                1,
                86_400,
                "1 to 86400",
            ),
            (
                "limits.log_lines",
                u64::from(limits.log_lines),
                1,
                100_000,
                "1 to 100000",
            ),
        ];
        for (key, value, min, max, expected) in bounds {
            require(
                (min..=max).contains(&value),
                key,
                value.to_string(),
                expected,
            );
        }
    }
}
