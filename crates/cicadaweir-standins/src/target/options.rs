//! How a target behaves.

use std::net::SocketAddr;

/// Address, size and faults of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetOptions {
    /// The service, named in answers.
    pub service: String,
    /// The name, named in answers.
    pub name: String,
    /// The tunnel endpoint.
    pub endpoint: SocketAddr,
    /// Where answers go: the entry VMs.
    pub entry_vms: Vec<SocketAddr>,
    /// The load endpoint.
    pub probe: SocketAddr,
    /// The most connections.
    pub connections: usize,
    /// Requests at once.
    pub slots: usize,
}
