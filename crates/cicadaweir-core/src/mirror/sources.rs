//! Whom to ask for the store's state.
//!
//! Load pattern: a change in the store wakes every waiting watch, and each is
//! a call that the store counts. Only the seeds watch the store; all other
//! entry VMs watch a seed, and go to the store themselves when no seed helps.

use crate::time::{Duration, Instant};

/// The shortest time for which a peer that failed is left alone.
const PEER_REST: Duration = Duration::from_secs(3);

/// The longest such time.
const LONGEST_PEER_REST: Duration = Duration::from_secs(12);

/// How long the store is left alone after a failure if a peer can be asked.
const STORE_REST: Duration = Duration::from_millis(800);

/// One place to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry VM, by its position among the peers.
    Peer(usize),
}

#[derive(Debug, Clone, Copy, Default)]
struct Rest {
    until: Instant,
    failures: u32,
}

impl Rest {
    fn is_over(&self, now: Instant) -> bool {
        self.failures == 0 || now >= self.until
    }
}

/// Chooses among the store and the peers.
#[derive(Debug)]
pub struct Sources {
    reads_store: bool,
    peers: Vec<Rest>,
    first: usize,
    store: Rest,
}

impl Sources {
    /// Makes the choice for an entry VM with a number of peers to ask.
    /// `reads_store` tells whether it watches the store for the others, and
    /// `draw` spreads the entry VMs over the peers.
    pub fn new(reads_store: bool, peers: usize, draw: u64) -> Self {
        Self {
            reads_store,
            peers: vec![Rest::default(); peers],
            first: draw as usize % peers.max(1),
            store: Rest::default(),
        }
    }

    /// Returns whom to ask. `cheap` tells that the call costs the store next
    /// to nothing.
    pub fn choose(&self, now: Instant, cheap: bool) -> Source {
        let store = self.store.is_over(now);
        if (self.reads_store || cheap) && store {
            return Source::Store;
        }
        self.peer(now).map_or(Source::Store, Source::Peer)
    }

    /// Returns whether a peer can be asked.
    pub fn has_peer(&self, now: Instant) -> bool {
        self.peer(now).is_some()
    }

    /// Notes what came of a call.
    pub fn report(&mut self, now: Instant, source: Source, served: bool) {
        let (rest, shortest, longest) = match source {
            Source::Store => (&mut self.store, STORE_REST, STORE_REST),
            Source::Peer(at) => (&mut self.peers[at], PEER_REST, LONGEST_PEER_REST),
        };
        if served {
            *rest = Rest::default();
            return;
        }
        let span = shortest.times(1 << rest.failures.min(4)).min(longest);
        rest.failures = rest.failures.saturating_add(1);
        rest.until = now + span;
    }

    fn peer(&self, now: Instant) -> Option<usize> {
        let count = self.peers.len();
        let order = (0..count).map(|at| (self.first + at) % count);
        order.into_iter().find(|&at| self.peers[at].is_over(now))
    }
}
