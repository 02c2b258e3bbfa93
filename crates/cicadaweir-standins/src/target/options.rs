//! Configuration of a target.

use std::net::SocketAddr;

/// The addresses and capacity of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetOptions {
    /// The service name, included in answers.
    pub service: String,
    /// The target name, included in answers.
    pub name: String,
    /// The address of the tunnel socket.
    pub endpoint: SocketAddr,
    /// The tunnel addresses of the entry VMs, through which answers are sent.
    pub entry_vms: Vec<SocketAddr>,
    /// The address of the load endpoint that entry VMs probe.
    pub probe: SocketAddr,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The number of requests processed concurrently.
    pub slots: usize,
}
