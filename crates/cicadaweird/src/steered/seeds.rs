//! The entry VMs that tell the others what the store holds.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use cicadaweir_core::mirror::Role;

/// The seeds in force; a reload of the settings may change them.
#[derive(Debug, Clone)]
pub struct Seeds {
    own: SocketAddr,
    all: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Seeds {
    /// Makes the seeds for the entry VM whose own feed is at `own`.
    pub fn new(own: SocketAddr, all: &[SocketAddr]) -> Self {
        Self {
            own,
            all: Arc::new(Mutex::new(all.to_vec())),
        }
    }

    /// Takes up other seeds.
    pub fn set(&self, all: &[SocketAddr]) {
        let mut known = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        known.clear();
        known.extend_from_slice(all);
    }

    /// Returns whom this entry VM may ask, and its role among them. The order
    /// is the same at all seeds.
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
