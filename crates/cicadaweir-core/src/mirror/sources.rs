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
pub enum Selection {
    /// Ask.
    Query(Source),
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
pub struct SourceSelector {
    role: Role,
    peers: Vec<Rest>,
    first: usize,
    store: Rest,
    patience: Duration,
    alone_since: Option<Instant>,
    catches_up: bool,
    /// Who answered last, until it fails.
    current: Option<Source>,
}

impl SourceSelector {
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
            current: None,
        }
    }

    /// Notes that a peer no longer keeps what is missing here. Returns whether
    /// the store is asked for it, which costs one call; otherwise everything
    /// has to be read again.
    pub fn request_store_read(&mut self, now: Instant) -> bool {
        self.catches_up = self.store.is_over(now);
        self.catches_up
    }

    /// Returns whom to ask. `bulk` tells that all keys are wanted: they come
    /// from the store if it can be had, since the links of entry VMs are
    /// small.
    pub fn select(&mut self, now: Instant, bulk: bool) -> Selection {
        let leader = self.leader(now);
        let wants_store = bulk || self.catches_up || self.needs_store(now, leader);
        if wants_store && self.store.is_over(now) {
            return Selection::Query(Source::Store);
        }
        if let Some(peer) = leader.or_else(|| self.peer(now)) {
            return Selection::Query(Source::Peer(peer));
        }
        let alone = *self.alone_since.get_or_insert(now);
        let store_at = self.store.left(now).max((alone + self.patience).since(now));
        if self.peers.is_empty() || store_at == Duration::ZERO {
            return Selection::Query(Source::Store);
        }
        let peers = self.peers.iter().map(|rest| rest.left(now));
        Selection::Wait(peers.min().unwrap_or(store_at).min(store_at))
    }

    /// Returns whether the store is to be asked before any peer. Peers that
    /// hang one after the other must not keep an entry VM from the store that
    /// it reaches: whoever hears nothing goes there, a seed at once.
    fn needs_store(&self, now: Instant, leader: Option<usize>) -> bool {
        let hears_nobody = self.current.is_none();
        match self.role {
            Role::Seed { .. } => hears_nobody || leader.is_none(),
            Role::Follower => {
                let is_over = |alone| now >= alone + self.patience;
                hears_nobody && self.alone_since.is_some_and(is_over)
            }
        }
    }

    /// Returns whether a peer can be asked.
    pub fn has_available_peer(&self, now: Instant) -> bool {
        self.peer(now).is_some()
    }

    /// Returns whether a source answered last. One that didn't is not to be
    /// waited for: it may hang, as others may after it.
    pub fn is_current(&self, source: Source) -> bool {
        self.current == Some(source)
    }

    /// Returns whether other seeds may rely on this entry VM: not while it is
    /// told by one that comes after it, and that may be told by it.
    pub fn can_serve_seeds(&self) -> bool {
        match (self.role, self.current) {
            (Role::Seed { leaders }, Some(Source::Peer(at))) => at < leaders,
            (_, current) => current.is_some(),
        }
    }

    /// Notes what came of a call. Returns whether nothing is heard any more:
    /// not if a source that was only tried again has failed again.
    pub fn record_result(&mut self, now: Instant, source: Source, served: bool) -> bool {
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
            (Source::Peer(at), false) => {
                self.peers[at].fail(now, PEER_REST, LONGEST_PEER_REST);
                self.alone_since.get_or_insert(now);
            }
        }
        let only_tried = self.current.is_some_and(|current| current != source);
        if served {
            self.current = Some(source);
        } else if !only_tried {
            self.current = None;
        }
        !served && !only_tried
    }

    fn leader(&self, now: Instant) -> Option<usize> {
        let Role::Seed { leaders } = self.role else {
            return None;
        };
        self.least_failed(now, 0..leaders.min(self.peers.len()))
    }

    fn peer(&self, now: Instant) -> Option<usize> {
        let count = self.peers.len();
        self.least_failed(now, (0..count).map(|at| (self.first + at) % count))
    }

    /// Returns the peer of those that can be asked which failed least often
    /// in a row, the first among equals.
    fn least_failed(&self, now: Instant, peers: impl Iterator<Item = usize>) -> Option<usize> {
        let rested = peers.filter(|&at| self.peers[at].is_over(now));
        rested.min_by_key(|&at| self.peers[at].failures)
    }
}
