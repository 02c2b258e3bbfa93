//! The structure of the settings file for the Geneve carrier.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The settings file for the Geneve carrier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of this entry VM.
    pub member: MemberSettings,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The address of the fabric, which receives packets for callers.
    pub fabric: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// The key for hashing flows, the same on all entry VMs; 32 hexadecimal
    /// digits.
    pub hash_key: String,
    /// Limits and timeouts.
    #[serde(default)]
    pub limits: Limits,
    /// The destination of metrics.
    #[serde(default)]
    pub metrics: Metrics,
    /// The sampling of flows for traces.
    #[serde(default)]
    pub trace: Trace,
}

/// The identity of an entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// The member number that the platform assigned.
    pub id: u32,
    /// The availability zone of the entry VM.
    pub zone: u16,
}

/// The addresses that a daemon listens on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For Geneve datagrams from the fabric and from targets.
    pub tunnel: SocketAddr,
    /// For messages and relayed packets of other entry VMs.
    pub peer: SocketAddr,
    /// For the command-line tool, over HTTP.
    pub control: SocketAddr,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The key-value store, as `IP:PORT`.
    pub store: SocketAddr,
    /// The membership list, as `IP:PORT`.
    pub list: SocketAddr,
}

/// Limits and timeouts of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most flows in the flow table.
    pub flows: u32,
    /// Seconds without packets after which an established TCP flow is evicted.
    pub quiet_flow_secs: u64,
    /// Seconds without packets after which a UDP flow is evicted.
    pub quiet_udp_secs: u64,
    /// Seconds that a stopping daemon waits for its successors to take over.
    pub leave_secs: u64,
    /// Seconds without packets after which a stopping daemon exits.
    pub quiet_stop_secs: u64,
    /// Seconds after which a stopping daemon exits in any case.
    pub stop_secs: u64,
    /// Seconds that a target may stay silent while its caller sends, before the
    /// flow counts as broken.
    pub silence_secs: u64,
    /// Milliseconds between two probes of a target.
    pub probe_ms: u64,
    /// The rate limit of answers towards callers in bytes per second, shared
    /// fairly with short answers first; 0 means no limit.
    pub answer_rate: u64,
    /// Whether new flows are refused when their targets are full.
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

/// The destination of metrics.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// The address of a statsd server; metrics are not sent if it is absent.
    pub statsd: Option<SocketAddr>,
}

/// The sampling of flows for traces.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Trace {
    /// One flow in this many is traced; 0 means none.
    pub one_in: u32,
}
