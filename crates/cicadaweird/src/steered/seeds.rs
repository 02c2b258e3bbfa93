//! The entry VMs that watch the store and serve its changes to the others.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use cicadaweir_core::mirror::Role;

/// The configured seeds, shared between the event loop and the follower. A reload
/// of the settings may replace them.
#[derive(Debug, Clone)]
pub struct Seeds {
    own: SocketAddr,
    all: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Seeds {
    /// Creates the seeds of the entry VM whose own feed is at `own`.
    pub fn new(own: SocketAddr, all: &[SocketAddr]) -> Self {
        Self {
            own,
            all: Arc::new(Mutex::new(all.to_vec())),
        }
    }

    /// Replaces the seeds.
    pub fn set(&self, all: &[SocketAddr]) {
        let mut current = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        current.clear();
        current.extend_from_slice(all);
    }

    /// Returns the seeds other than this entry VM, sorted and without duplicates,
    /// and this entry VM's role. A seed's leaders are the seeds that sort before
    /// it, so all seeds agree on the order.
    pub fn peers(&self) -> (Vec<SocketAddr>, Role) {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let mut peers: Vec<_> = all.iter().copied().filter(|s| *s != self.own).collect();
        peers.sort_unstable();
        peers.dedup();
        let role = if all.contains(&self.own) {
            let leaders = peers.iter().filter(|&&peer| peer < self.own).count();
            Role::Seed { leaders }
        } else {
            Role::Follower
        };
        (peers, role)
    }
}
