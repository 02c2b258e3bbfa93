//! The shape of the settings file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Everything that a daemon is told at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this entry VM is.
    pub member: MemberSettings,
    /// Where it listens.
    pub listen: Listen,
    /// The fabric's address, which takes packets for callers.
    pub fabric: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// The fleet's key for hashing flows, 32 hexadecimal digits.
    pub hash_key: String,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: Metrics,
    /// Which flows are traced.
    #[serde(default)]
    pub trace: Trace,
}

/// Who this entry VM is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// The number that the platform gives it.
    pub id: u32,
    /// Its availability zone.
    pub zone: u16,
}

/// Where a daemon listens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Geneve, from the fabric and the targets.
    pub tunnel: SocketAddr,
    /// Other entry VMs.
    pub peer: SocketAddr,
    /// The tool, over HTTP.
    pub control: SocketAddr,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The key-value service, as `IP:PORT`.
    pub store: SocketAddr,
    /// The membership list, as `IP:PORT`.
    pub list: SocketAddr,
}

/// Bounds of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most flows that are remembered.
    pub flows: u32,
    /// Seconds for which a quiet TCP flow is remembered.
    pub quiet_flow_secs: u64,
    /// Seconds for which a UDP exchange is remembered.
    pub quiet_udp_secs: u64,
    /// Seconds that a planned stop may take to hand over.
    pub leave_secs: u64,
    /// Seconds without packets after which a stopping daemon ends.
    pub quiet_stop_secs: u64,
    /// Seconds after which a stopping daemon ends in any case.
    pub stop_secs: u64,
    /// Seconds that a target may be silent while its caller sends.
    pub silence_secs: u64,
    /// Milliseconds between two probes of a target.
    pub probe_ms: u64,
    /// Bytes a second of answers towards callers, shared fairly with short
    /// answers first; 0 for no limit.
    pub answer_rate: u64,
    /// Whether openings are refused when targets are full.
    pub refuse: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            flows: 600_000,
            quiet_flow_secs: 4 * 3600,
            quiet_udp_secs: 60,
            leave_secs: 5,
            quiet_stop_secs: 3,
            stop_secs: 60,
            silence_secs: 10,
            probe_ms: 500,
            answer_rate: 0,
            refuse: true,
        }
    }
}

/// Where metrics go.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// A statsd server, if any.
    pub statsd: Option<SocketAddr>,
}

/// Which flows are traced.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Trace {
    /// One flow in this many is traced; 0 for none.
    pub one_in: u32,
}
