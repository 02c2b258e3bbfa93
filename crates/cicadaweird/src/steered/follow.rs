//! Follows the store, directly or through another entry VM, on its own thread.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::{
    mirror::{
        self, Call, Mirror, Options, Role, Selection, Source, SourceSelector, StoreResponse, Update,
    },
    steer::Change,
    time,
};
use cicadaweir_platform::records::TARGETS_PREFIX;
use log::{debug, info, warn};

use crate::{
    clock,
    logs::{LineKind, RateLimiter},
};

use super::{
    Feed, FeedClient, FeedResponse, FeedWatch, Inbox, Input, Meters, Rejection, Seeds, StoreClient,
    StoreError, decode_change,
};

/// The prefix of the keys that are read and watched: empty, so that one watch
/// covers the whole store.
const PREFIX: &str = "";

/// The largest number of entry VMs queried in one chain of redirects: a seed, the
/// first follower of this entry VM's zone, and two more for zones with over a
/// thousand entry VMs.
const MAX_HOPS: u32 = 4;

/// The shortest time from a change to the next watch of the store. Changes often
/// come in series and each watch costs a request, so the delay batches them.
const STORE_WATCH_DELAY: Duration = Duration::from_millis(150);

/// The same for an entry VM that isn't a seed. It watches the store itself only while
/// no seed serves it, as do all others then, and each change would wake them all.
const FOLLOWER_STORE_WATCH_DELAY: Duration = Duration::from_millis(500);

/// The shortest time from a change to the next watch of another entry VM.
const PEER_WATCH_DELAY: Duration = Duration::from_millis(50);

/// Changes in the store, passed to the event loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreUpdate {
    /// The changes in the order of the responses.
    pub changes: Vec<Change>,
    /// Whether all keys are known as of some state of the store, which may be
    /// seconds old.
    pub complete: bool,
    /// Whether the view now matches the store's current state.
    pub current: bool,
    /// When the store sent the data, directly or through other entry VMs.
    pub viewed_at: time::Instant,
    /// The store's revision up to which all changes are included.
    pub revision: u64,
}

/// Follows the store on a thread of its own and passes changes to the event loop.
pub struct Follower {
    /// The client of the store.
    pub store: StoreClient,
    /// The client of other entry VMs' feeds.
    pub peers: FeedClient,
    /// The feed that serves this entry VM's copy of the store to others.
    pub feed: Arc<Feed>,
    /// The entry VMs that watch the store for the others.
    pub seeds: Seeds,
    /// The address of this entry VM's own feed.
    pub own: SocketAddr,
    /// The seed for random numbers; differs between daemons.
    pub rng_seed: u64,
    /// Log lines per second about rejected values.
    pub log_lines: u32,
    /// The metrics that count requests.
    pub meters: Arc<Meters>,
    /// The inputs of the event loop.
    pub inbox: Inbox,
}

/// A response with the time at which the store sent the data, at the earliest.
struct Received {
    response: StoreResponse,
    sent_at: time::Instant,
    /// Whether the data may be older than that, or is older than what counts as recent.
    is_stale: bool,
    /// The items that can't be decoded.
    rejected: Vec<Rejection>,
}

/// The sources that a follower queries, for one set of configured seeds.
struct SourceSet {
    /// The configured seeds.
    seeds: Vec<SocketAddr>,
    role: Role,
    /// For each seed, the entry VM to query: the seed, or where it redirected to.
    peers: Vec<SocketAddr>,
    selector: SourceSelector,
}

impl SourceSet {
    fn new((seeds, role): (Vec<SocketAddr>, Role), rng_seed: u64) -> Self {
        Self {
            selector: SourceSelector::new(role, seeds.len(), rng_seed),
            peers: seeds.clone(),
            seeds,
            role,
        }
    }

    fn matches(&self, (seeds, role): &(Vec<SocketAddr>, Role)) -> bool {
        self.seeds == *seeds && self.role == *role
    }
}

impl Follower {
    /// Follows the store until the event loop has ended.
    pub fn run(&self) {
        let now = clock::now;
        let mut limiter = RateLimiter::new(self.log_lines, Instant::now());
        let mut sources = SourceSet::new(self.seeds.peers(), self.rng_seed);
        let mut mirror = Mirror::new(Options::default(), self.rng_seed);
        let mut updates = Vec::new();
        let mut dependencies = Dependencies::default();
        let mut last_change_at: Option<Instant> = None;
        loop {
            self.apply_seeds(&mut sources);
            let call = mirror.next_call(now());
            if let Call::Backoff(span) = call {
                thread::sleep(Duration::from_micros(span.as_micros()));
                mirror.end_backoff();
                continue;
            }
            let bulk = matches!(call, Call::Range { .. });
            let source = match sources.selector.select(now(), bulk) {
                Selection::Query(source) => source,
                Selection::Wait(span) => {
                    thread::sleep(Duration::from_micros(span.as_micros()));
                    continue;
                }
            };
            if let Some(at) = last_change_at {
                let delay = watch_delay(source, sources.role);
                thread::sleep(delay.saturating_sub(at.elapsed()));
            }
            let requested_at = now();
            let result = self.query(source, &mut sources, &call);
            let response = result
                .as_ref()
                .map_or(&StoreResponse::Failed, |received| &received.response);
            self.meters
                .record_call(source, &call, response, now().since(requested_at));
            let has_lost_all = sources
                .selector
                .record_result(now(), source, result.is_ok());
            self.feed
                .set_serves_seeds(sources.selector.can_serve_seeds());
            dependencies.record(source, result.as_ref().err(), mirror.revision());
            let Ok(received) = result else {
                if let Source::Peer(at) = source {
                    sources.peers[at] = sources.seeds[at];
                }
                if source == Source::Store && !sources.selector.has_available_peer(now()) {
                    mirror.handle_response(now(), StoreResponse::Failed, &mut updates);
                }
                if has_lost_all {
                    self.feed.mark_unavailable();
                }
                continue;
            };
            let from_peer = matches!(source, Source::Peer(_));
            if received.response == StoreResponse::Compacted {
                if from_peer && sources.selector.request_store_read(now()) {
                    continue;
                }
                info!(source:debug, revision = mirror.revision(); "change history compacted, reading all keys");
            }
            if matches!(&received.response, StoreResponse::Events { items, .. } if !items.is_empty())
            {
                last_change_at = Some(Instant::now());
            }
            self.feed
                .record(&received.response, received.sent_at, received.is_stale);
            mirror.handle_response(now(), received.response, &mut updates);
            if from_peer && received.is_stale {
                mirror.record_outage(now());
            }
            let mut rejected = received.rejected;
            let update = StoreUpdate::new(
                &mut updates,
                received.sent_at,
                mirror.revision(),
                &mut rejected,
            );
            self.report(&rejected, &mut limiter);
            if update.is_empty() {
                continue;
            }
            if !self.inbox.send(Input::StoreUpdate(update)) {
                return;
            }
        }
    }

    /// Counts rejected values and logs them, as far as the rate limit allows.
    fn report(&self, rejected: &[Rejection], limiter: &mut RateLimiter) {
        for rejection in rejected {
            self.meters.record_rejection(rejection.kind);
            if limiter.allows(LineKind::Rejected, Instant::now()) {
                rejection.log();
            }
        }
        let count = limiter.take_suppressed(LineKind::Rejected);
        if count > 0 {
            let kind = LineKind::Rejected.name();
            info!(kind, count; "log lines suppressed by the rate limit");
        }
    }

    /// Resets the sources if a reload has replaced the configured seeds.
    fn apply_seeds(&self, sources: &mut SourceSet) {
        let current = self.seeds.peers();
        if !sources.matches(&current) {
            info!(seeds:debug = current.0, role:debug = current.1; "seeds changed");
            *sources = SourceSet::new(current, self.rng_seed);
        }
    }

    fn query(
        &self,
        source: Source,
        sources: &mut SourceSet,
        call: &Call,
    ) -> Result<Received, StoreError> {
        let at = match source {
            Source::Store => return self.query_store(call),
            Source::Peer(at) => at,
        };
        let watch = match call {
            Call::Watch { after, wait } => {
                // A peer other than the source of the latest response may hang, so it
                // is not asked to wait for changes.
                let may_wait = sources.selector.is_current(source);
                let wait = if may_wait { wait.as_micros() } else { 0 };
                Some(FeedWatch {
                    after: *after,
                    wait: Duration::from_micros(wait),
                    is_seed: matches!(sources.role, Role::Seed { .. }),
                })
            }
            Call::Range { .. } | Call::Backoff(_) => None,
        };
        self.query_peer(&mut sources.peers[at], watch)
    }

    fn query_store(&self, call: &Call) -> Result<Received, StoreError> {
        let requested_at = clock::now();
        let (answer, wait) = match call {
            Call::Range { after, stale } => {
                let page = self.store.range(PREFIX, after.as_deref(), *stale);
                (page?, time::Duration::ZERO)
            }
            Call::Watch { after, wait } => {
                let wait = (*wait).min(Options::default().store_watch_wait);
                let span = Duration::from_micros(wait.as_micros());
                (self.store.watch(PREFIX, *after, span)?, wait)
            }
            Call::Backoff(_) => return Err(StoreError::Unavailable("no call was due".to_owned())),
        };
        Ok(Received {
            response: answer.response,
            sent_at: mirror::sent_at(requested_at, wait, clock::now(), time::Duration::ZERO),
            is_stale: matches!(call, Call::Range { stale: true, .. }),
            rejected: answer.rejected,
        })
    }

    /// Watches another entry VM, or without `watch` reads all keys that it knows.
    fn query_peer(
        &self,
        peer: &mut SocketAddr,
        watch: Option<FeedWatch>,
    ) -> Result<Received, StoreError> {
        let requested_at = clock::now();
        let wait = watch.map_or(Duration::ZERO, |watch| watch.wait);
        let response = match watch {
            Some(watch) => self.watch_peer(peer, watch)?,
            None => self.peers.read_all(*peer)?,
        };
        let (received_at, max_age) = (clock::now(), Options::default().max_view_age);
        let sent_at = mirror::sent_at(
            requested_at,
            time::Duration::from_micros(wait.as_micros() as u64),
            received_at,
            time::Duration::from_micros(response.age.as_micros() as u64),
        );
        let age = received_at.since(sent_at);
        // All keys are needed by an entry VM that has none, however old they are; they
        // count as a view of their age.
        if age > max_age && watch.is_some() {
            return Err(StoreError::Malformed(format!(
                "stale view: {} ms old, expected at most {} ms",
                age.as_millis(),
                max_age.as_millis()
            )));
        }
        Ok(Received {
            response: response.response,
            sent_at,
            is_stale: age > max_age,
            rejected: Vec::new(),
        })
    }

    /// Watches a peer and follows its redirects; `peer` becomes the entry VM to query
    /// next time.
    fn watch_peer(
        &self,
        peer: &mut SocketAddr,
        watch: FeedWatch,
    ) -> Result<FeedResponse, StoreError> {
        for _ in 0..MAX_HOPS {
            let response = self.peers.watch(*peer, watch)?;
            match response.redirect {
                None => return Ok(response),
                Some(redirect) if redirect == self.own => break,
                Some(redirect) => {
                    debug!(peer:display, instead:display = redirect; "redirected to another entry VM");
                    *peer = redirect;
                }
            }
        }
        Err(StoreError::Unavailable(format!(
            "redirected to this entry VM itself, or {MAX_HOPS} times in a row"
        )))
    }
}

/// Returns the shortest time from a change to the next watch of a source.
const fn watch_delay(source: Source, role: Role) -> Duration {
    match (source, role) {
        (Source::Store, Role::Seed { .. }) => STORE_WATCH_DELAY,
        (Source::Store, Role::Follower) => FOLLOWER_STORE_WATCH_DELAY,
        (Source::Peer(_), _) => PEER_WATCH_DELAY,
    }
}

/// The sources that are failing, so that each failure and each recovery is logged
/// once.
#[derive(Debug, Default)]
struct Dependencies {
    failing: Vec<(Source, Instant)>,
}

impl Dependencies {
    fn record(&mut self, source: Source, err: Option<&StoreError>, revision: u64) {
        let index = self.failing.iter().position(|f| f.0 == source);
        match (index, err) {
            (None, Some(err)) => {
                self.failing.push((source, Instant::now()));
                warn!(dependency:debug = source, err:display, revision; "dependency lost");
            }
            (Some(index), None) => {
                let (_, since) = self.failing.swap_remove(index);
                let lost_ms = since.elapsed().as_millis() as u64;
                info!(dependency:debug = source, lost_ms, revision; "dependency recovered");
            }
            _ => {}
        }
    }
}

impl StoreUpdate {
    /// Builds the input of the event loop from the mirror's updates, and clears them.
    /// Values that can't be used are appended to `rejected`.
    pub fn new(
        updates: &mut Vec<Update>,
        viewed_at: time::Instant,
        revision: u64,
        rejected: &mut Vec<Rejection>,
    ) -> Self {
        let mut batch = Self {
            changes: Vec::new(),
            complete: false,
            current: false,
            viewed_at,
            revision,
        };
        for update in updates.drain(..) {
            match update {
                Update::Complete => batch.complete = true,
                Update::Current => batch.current = true,
                Update::Written { key, value, .. } => {
                    batch.changes.extend(decode_change(&key, &value, rejected));
                }
                Update::Removed { key, .. } => {
                    if let Some(name) = key.strip_prefix(TARGETS_PREFIX) {
                        batch
                            .changes
                            .push(Change::TargetRemoved { name: name.into() });
                    }
                }
            }
        }
        batch
    }

    /// Returns whether there is nothing to apply.
    fn is_empty(&self) -> bool {
        self.changes.is_empty() && !self.complete && !self.current
    }
}
