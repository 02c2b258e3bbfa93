//! Whom to ask for the store's state.
//!
//! Load pattern: a change in the store wakes every waiting watch, and each is
//! a call that the store counts. Only one seed watches the store; the others
//! watch a seed before them in a fixed order, and go to the store the moment
//! that none of these helps. All other entry VMs watch a seed. They go to the
//! store themselves, after a while that differs between them, when no seed
//! helps: otherwise a fleet would fall on the store at the very moment at
//! which it is in trouble.

use crate::time::{Duration, Instant};

/// How long a peer is left alone after its first failure.
const PEER_REST: Duration = Duration::from_millis(250);

/// The longest time for which a peer is left alone.
const LONGEST_PEER_REST: Duration = Duration::from_secs(3);

/// How long the store is left alone after its first failure.
const STORE_REST: Duration = Duration::from_millis(500);

/// The longest time for which the store is left alone.
const LONGEST_STORE_REST: Duration = Duration::from_secs(4);

/// The shortest time without any peer before the store is asked; up to as
/// much again is added by draw. With the rest of the way it leaves a change
/// time to be in force within 3 s.
const PATIENCE: Duration = Duration::from_millis(600);

/// What an entry VM does for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It watches the store, unless one of the first peers does.
    Seed {
        /// How many peers come before it. The order is the same everywhere,
        /// so that no two seeds wait for each other.
        leaders: usize,
    },
    /// It watches a seed.
    Follower,
}

/// One place to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry VM, by its position among the peers.
    Peer(usize),
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Ask.
    Ask(Source),
    /// Wait; nobody is to be asked before.
    Wait(Duration),
}

#[derive(Debug, Clone, Copy, Default)]
struct Rest {
    until: Instant,
    failures: u32,
}

impl Rest {
    fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    fn left(&self, now: Instant) -> Duration {
        self.until.since(now)
    }

    fn fail(&mut self, now: Instant, shortest: Duration, longest: Duration) {
        let span = shortest.times(1 << self.failures.min(4)).min(longest);
        self.failures = self.failures.saturating_add(1);
        self.until = now + span;
    }
}

/// Chooses among the store and the peers.
#[derive(Debug)]
pub struct Sources {
    role: Role,
    peers: Vec<Rest>,
    first: usize,
    store: Rest,
    patience: Duration,
    alone_since: Option<Instant>,
    catches_up: bool,
}

impl Sources {
    /// Makes the choice for an entry VM with a number of peers to ask. `draw`
    /// spreads the entry VMs over the peers and over time.
    pub fn new(role: Role, peers: usize, draw: u64) -> Self {
        let more = (draw >> 32) % PATIENCE.as_micros();
        Self {
            role,
            peers: vec![Rest::default(); peers],
            first: draw as usize % peers.max(1),
            store: Rest::default(),
            patience: PATIENCE + Duration::from_micros(more),
            alone_since: None,
            catches_up: false,
        }
    }

    /// Notes that a peer no longer keeps what is missing here. Returns whether
    /// the store is asked for it, which costs one call; otherwise everything
    /// has to be read again.
    pub fn catch_up(&mut self, now: Instant) -> bool {
        self.catches_up = self.store.is_over(now);
        self.catches_up
    }

    /// Returns whom to ask. `bulk` tells that all keys are wanted: they come
    /// from the store if it can be had, since the links of entry VMs are
    /// small.
    pub fn choose(&mut self, now: Instant, bulk: bool) -> Choice {
        let store = self.store.is_over(now);
        let leader = self.leader(now);
        let watches_store = matches!(self.role, Role::Seed { .. }) && leader.is_none();
        if store && (watches_store || bulk || self.catches_up) {
            return Choice::Ask(Source::Store);
        }
        if let Some(peer) = leader.or_else(|| self.peer(now)) {
            return Choice::Ask(Source::Peer(peer));
        }
        let alone = *self.alone_since.get_or_insert(now);
        let store_at = self.store.left(now).max((alone + self.patience).since(now));
        if self.peers.is_empty() || store_at == Duration::ZERO {
            return Choice::Ask(Source::Store);
        }
        let peers = self.peers.iter().map(|rest| rest.left(now));
        Choice::Wait(peers.min().unwrap_or(store_at).min(store_at))
    }

    /// Returns whether a peer can be asked.
    pub fn has_peer(&self, now: Instant) -> bool {
        self.peer(now).is_some()
    }

    /// Notes what came of a call.
    pub fn report(&mut self, now: Instant, source: Source, served: bool) {
        if source == Source::Store {
            self.catches_up = false;
        }
        match (source, served) {
            (Source::Store, true) => self.store = Rest::default(),
            (Source::Store, false) if matches!(self.role, Role::Seed { .. }) => {
                self.store.fail(now, STORE_REST, STORE_REST);
            }
            (Source::Store, false) => self.store.fail(now, STORE_REST, LONGEST_STORE_REST),
            (Source::Peer(at), true) => {
                self.peers[at] = Rest::default();
                self.alone_since = None;
            }
            (Source::Peer(at), false) => self.peers[at].fail(now, PEER_REST, LONGEST_PEER_REST),
        }
    }

    fn leader(&self, now: Instant) -> Option<usize> {
        let Role::Seed { leaders } = self.role else {
            return None;
        };
        let mut leaders = 0..leaders.min(self.peers.len());
        leaders.find(|&at| self.peers[at].is_over(now))
    }

    fn peer(&self, now: Instant) -> Option<usize> {
        let count = self.peers.len();
        let mut order = (0..count).map(|at| (self.first + at) % count);
        order.find(|&at| self.peers[at].is_over(now))
    }
}
