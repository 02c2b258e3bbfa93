//! Selects the source of the next call: the store or another entry VM.
//!
//! Load on the store: each change completes every open watch, and each watch
//! counts as a call. Therefore only one seed watches the store. The other
//! seeds watch a seed that precedes them in a fixed order, and fall back to
//! the store immediately when none of these is available. All other entry VMs
//! watch a seed. When no seed is available they fall back to the store after
//! a randomized delay; without it the whole fleet would query the store at
//! the moment at which it is already failing.

use crate::time::{Duration, Instant};

/// The backoff of a peer after its first failure.
const INITIAL_PEER_BACKOFF: Duration = Duration::from_millis(250);

/// The upper limit of a peer's backoff.
const MAX_PEER_BACKOFF: Duration = Duration::from_secs(3);

/// The backoff of the store after its first failure.
const INITIAL_STORE_BACKOFF: Duration = Duration::from_millis(500);

/// The upper limit of the store's backoff for followers.
const MAX_STORE_BACKOFF: Duration = Duration::from_secs(2);

/// The shortest time without an available peer after which a follower queries
/// the store; a random delay of up to the same length is added. Together with
/// the remaining delays, a change still takes effect within 3 s.
const MIN_STORE_FALLBACK_DELAY: Duration = Duration::from_millis(600);

/// The time since the current source responded after which no further source is tried in
/// its place. Sources that refuse a call do so sooner.
const MAX_TIME_AWAY: Duration = Duration::from_millis(250);

/// The longest time that a call takes which doesn't wait for changes, until it fails: the
/// driver's timeout for connecting and for the response headers.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The role of an entry VM in distributing the store's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Watches one of the seeds that precede it, or the store if none of them
    /// is available.
    Seed {
        /// The number of peers that precede it. The order is the same on all
        /// entry VMs, so that no two seeds watch each other.
        leaders: usize,
    },
    /// Watches a seed.
    Follower,
}

/// A source of the store's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry VM, by its index among the peers.
    Peer(usize),
}

/// The result of [`SourceSelector::select`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// Send the next call to this source.
    Query(Source),
    /// No source is available before this time has passed.
    Wait(Duration),
}

/// The backoff of one source after consecutive failures.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    until: Instant,
    failures: u32,
}

impl Backoff {
    fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    fn remaining(&self, now: Instant) -> Duration {
        self.until.since(now)
    }

    fn fail(&mut self, now: Instant, initial: Duration, max: Duration) {
        let span = initial.times(1 << self.failures.min(4)).min(max);
        self.failures = self.failures.saturating_add(1);
        self.until = now + span;
    }
}

/// Selects the source of each call from the store and the peers.
#[derive(Debug)]
pub struct SourceSelector {
    role: Role,
    peers: Vec<Backoff>,
    /// The index of the peer that is selected first.
    preferred_peer: usize,
    store: Backoff,
    /// The time without an available peer after which a follower queries the
    /// store.
    store_fallback_delay: Duration,
    /// The first failure since a peer last responded.
    no_peer_since: Option<Instant>,
    /// Whether the store is queried next, for changes that a peer has compacted.
    store_read_requested: bool,
    /// The source that responded last, until it fails.
    current: Option<Source>,
    /// When the current source responded last.
    responded_at: Instant,
    /// Whether a call to another source has failed since then.
    has_tried_other: bool,
}

impl SourceSelector {
    /// Creates the selector of an entry VM with `peers` peers. The `random`
    /// value distributes entry VMs over preferred peers and fallback delays.
    pub fn new(role: Role, peers: usize, random: u64) -> Self {
        let extra = (random >> 32) % MIN_STORE_FALLBACK_DELAY.as_micros();
        Self {
            role,
            peers: vec![Backoff::default(); peers],
            preferred_peer: random as usize % peers.max(1),
            store: Backoff::default(),
            store_fallback_delay: MIN_STORE_FALLBACK_DELAY + Duration::from_micros(extra),
            no_peer_since: None,
            store_read_requested: false,
            current: None,
            responded_at: Instant::START,
            has_tried_other: false,
        }
    }

    /// Requests a store call for changes that a peer has compacted. Returns
    /// whether the next call goes to the store, which costs one call; if not,
    /// all keys must be read again.
    pub fn request_store_read(&mut self, now: Instant) -> bool {
        self.store_read_requested = self.store.is_over(now);
        self.store_read_requested
    }

    /// Returns the source of the next call. `bulk` means that the call reads
    /// all keys: these come from the store if it is available, since the
    /// bandwidth of entry VMs is limited.
    ///
    /// Calls to other sources than the current one take [`MAX_TIME_AWAY`] and one timeout
    /// at most before the current one is called again: several sources that time out one
    /// after the other must not keep an entry VM from one that responds.
    pub fn select(&mut self, now: Instant, bulk: bool) -> Selection {
        let is_away = self.has_tried_other && now.since(self.responded_at) >= MAX_TIME_AWAY;
        if let Some(current) = self.current.filter(|_| is_away) {
            return Selection::Query(current);
        }
        let leader = self.available_leader(now);
        let prefers_store = bulk || self.store_read_requested || self.needs_store(now, leader);
        if prefers_store && self.store.is_over(now) {
            return Selection::Query(Source::Store);
        }
        let no_peer_since = self.no_peer_since.unwrap_or(now);
        let store_in = self
            .store
            .remaining(now)
            .max((no_peer_since + self.store_fallback_delay).since(now));
        let peer = leader.or_else(|| self.available_peer(now));
        if let Some(peer) = peer.filter(|&at| !self.is_futile(at, store_in)) {
            return Selection::Query(Source::Peer(peer));
        }
        self.no_peer_since = Some(no_peer_since);
        if self.peers.is_empty() || store_in == Duration::ZERO {
            return Selection::Query(Source::Store);
        }
        if peer.is_some() {
            return Selection::Wait(store_in);
        }
        let peers = self.peers.iter().map(|backoff| backoff.remaining(now));
        Selection::Wait(peers.min().unwrap_or(store_in).min(store_in))
    }

    /// Returns whether a follower without a source doesn't call a peer before the store,
    /// which is due in `store_in`: the peer has failed, and its timeout would delay that.
    fn is_futile(&self, peer: usize, store_in: Duration) -> bool {
        self.has_failed_too(peer) && store_in < CALL_TIMEOUT
    }

    /// Returns whether this is a follower without a source, and a peer has failed too.
    fn has_failed_too(&self, peer: usize) -> bool {
        self.role == Role::Follower && self.current.is_none() && self.peers[peer].failures > 0
    }

    /// Returns whether the store takes precedence over all peers. Peers that
    /// time out one after another must not keep an entry VM from a reachable
    /// store: without a responding source it queries the store, a seed
    /// immediately, a follower after the fallback delay.
    fn needs_store(&self, now: Instant, leader: Option<usize>) -> bool {
        let has_no_source = self.current.is_none();
        match self.role {
            Role::Seed { .. } => has_no_source || leader.is_none(),
            Role::Follower => {
                let is_over = |since| now >= since + self.store_fallback_delay;
                has_no_source && self.no_peer_since.is_some_and(is_over)
            }
        }
    }

    /// Returns whether a peer may still respond when the store has failed. A peer that has
    /// failed too doesn't count, though its backoff may be over.
    pub fn has_available_peer(&self, now: Instant) -> bool {
        self.available_peer(now)
            .is_some_and(|peer| !self.has_failed_too(peer))
    }

    /// Returns whether `source` is the one that responded last. A call to any
    /// other source should not wait for changes: it may hang, and so may the
    /// sources after it.
    pub fn is_current(&self, source: Source) -> bool {
        self.current == Some(source)
    }

    /// Returns whether other seeds may use this entry VM as a source. They may
    /// not while its own source is a seed that follows it in the order, since
    /// that seed may in turn use this one.
    pub fn can_serve_seeds(&self) -> bool {
        match (self.role, self.current) {
            (Role::Seed { leaders }, Some(Source::Peer(at))) => at < leaders,
            (_, current) => current.is_some(),
        }
    }

    /// Records the outcome of a call. Returns whether no source is responding
    /// any more; a failure of a source other than the current one does not
    /// count.
    pub fn record_result(&mut self, now: Instant, source: Source, succeeded: bool) -> bool {
        if source == Source::Store {
            self.store_read_requested = false;
        }
        match (source, succeeded) {
            (Source::Store, true) => self.store = Backoff::default(),
            (Source::Store, false) if matches!(self.role, Role::Seed { .. }) => {
                self.store
                    .fail(now, INITIAL_STORE_BACKOFF, INITIAL_STORE_BACKOFF);
            }
            (Source::Store, false) => {
                self.store
                    .fail(now, INITIAL_STORE_BACKOFF, MAX_STORE_BACKOFF)
            }
            (Source::Peer(at), true) => {
                self.peers[at] = Backoff::default();
                self.no_peer_since = None;
            }
            (Source::Peer(at), false) => {
                self.peers[at].fail(now, INITIAL_PEER_BACKOFF, MAX_PEER_BACKOFF);
                self.no_peer_since.get_or_insert(now);
            }
        }
        let is_secondary = self.current.is_some_and(|current| current != source);
        self.has_tried_other = is_secondary && !succeeded;
        if succeeded {
            self.current = Some(source);
            self.responded_at = now;
        } else if !is_secondary {
            self.current = None;
        }
        !succeeded && !is_secondary
    }

    /// Returns the index of an available seed that precedes this one.
    fn available_leader(&self, now: Instant) -> Option<usize> {
        let Role::Seed { leaders } = self.role else {
            return None;
        };
        self.least_failed(now, 0..leaders.min(self.peers.len()))
    }

    /// Returns the index of an available peer.
    fn available_peer(&self, now: Instant) -> Option<usize> {
        let count = self.peers.len();
        self.least_failed(now, (0..count).map(|at| (self.preferred_peer + at) % count))
    }

    /// Returns the available peer with the fewest consecutive failures; the
    /// first of them on a tie.
    fn least_failed(&self, now: Instant, peers: impl Iterator<Item = usize>) -> Option<usize> {
        let available = peers.filter(|&at| self.peers[at].is_over(now));
        available.min_by_key(|&at| self.peers[at].failures)
    }
}
