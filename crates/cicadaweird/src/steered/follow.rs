//! Following the store, or another entry VM that does, on a thread of its own.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::{
    mirror::{
        Call, Mirror, Options, Role, Selection, Source, SourceSelector, StoreResponse, Update,
    },
    steer::Change,
    time,
};
use cicadaweir_platform::records::TARGETS_PREFIX;
use log::{debug, info, warn};

use super::{
    Feed, FeedAnswer, FeedClient, FeedWatch, Inbox, Input, Meters, Seeds, StoreClient, StoreError,
    decode_change,
};

/// Everything in the store is followed by one watch.
const PREFIX: &str = "";

/// How old the view of another entry VM may be: its own watch, and those of
/// whom it follows. Above it two entry VMs may be following one another.
const OLDEST_PEER_VIEW: Duration = Duration::from_millis(3_200);

/// How often an entry VM is sent on before it gives up: a seed, the first
/// follower of its zone, and two more for zones of over a thousand.
const MOST_HOPS: u32 = 4;

/// The time between two watches of the store: changes often come in series,
/// and each watch is a call.
const WATCHES_APART: Duration = Duration::from_millis(150);

/// The time between two watches of another entry VM.
const PEER_WATCHES_APART: Duration = Duration::from_millis(50);

/// What the store has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// What has changed, in order.
    pub changes: Vec<Change>,
    /// Whether all keys are known, from some state of the store.
    pub complete: bool,
    /// Whether that state is the one of a moment ago.
    pub current: bool,
    /// How long ago the store was heard.
    pub age: Duration,
    /// The store's revision up to which changes are known.
    pub revision: u64,
}

/// What following the store needs.
pub struct Follower {
    /// The store.
    pub store: StoreClient,
    /// Other entry VMs.
    pub peers: FeedClient,
    /// Where this entry VM tells what it knows.
    pub feed: Arc<Feed>,
    /// The entry VMs that watch the store for the others.
    pub seeds: Seeds,
    /// This entry VM's own address among them.
    pub own: SocketAddr,
    /// Differs between daemons.
    pub seed: u64,
    /// Where calls are counted.
    pub meters: Arc<Meters>,
    /// The loop.
    pub inbox: Inbox,
}

/// An answer, and when the store was heard.
struct Heard {
    answer: StoreResponse,
    at: Instant,
}

/// Whom a follower asks at present.
struct Places {
    /// The seeds that were configured.
    seeds: Vec<SocketAddr>,
    role: Role,
    /// For each seed, whom it has named instead of itself.
    peers: Vec<SocketAddr>,
    sources: SourceSelector,
}

impl Places {
    fn new((seeds, role): (Vec<SocketAddr>, Role), draw: u64) -> Self {
        Self {
            sources: SourceSelector::new(role, seeds.len(), draw),
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
    /// Follows the store until the loop has ended.
    pub fn run(&self) {
        let start = Instant::now();
        let now = || time::Instant::from_micros(start.elapsed().as_micros() as u64);
        let mut places = Places::new(self.seeds.peers(), self.seed);
        let mut mirror = Mirror::new(Options::default(), self.seed);
        let mut updates = Vec::new();
        let mut dependencies = Dependencies::default();
        let mut last_news: Option<Instant> = None;
        loop {
            self.take_up_seeds(&mut places);
            let call = mirror.next_call(now());
            if let Call::Backoff(span) = call {
                thread::sleep(Duration::from_micros(span.as_micros()));
                mirror.end_backoff();
                continue;
            }
            let bulk = matches!(call, Call::Range { .. });
            let source = match places.sources.select(now(), bulk) {
                Selection::Query(source) => source,
                Selection::Wait(span) => {
                    thread::sleep(Duration::from_micros(span.as_micros()));
                    continue;
                }
            };
            if let Some(at) = last_news {
                thread::sleep(apart(source).saturating_sub(at.elapsed()));
            }
            let asked = Instant::now();
            let result = self.ask(source, &mut places, &call);
            let answer = result
                .as_ref()
                .map_or(&StoreResponse::Failed, |heard| &heard.answer);
            self.meters.call(source, &call, answer, asked.elapsed());
            let is_lost = places.sources.record_result(now(), source, result.is_ok());
            self.feed.set_leads(places.sources.can_serve_seeds());
            dependencies.note(source, result.as_ref().err(), mirror.revision());
            let Ok(heard) = result else {
                if let Source::Peer(at) = source {
                    places.peers[at] = places.seeds[at];
                }
                if source == Source::Store && !places.sources.has_available_peer(now()) {
                    mirror.handle_response(now(), StoreResponse::Failed, &mut updates);
                }
                if is_lost {
                    self.feed.lost();
                }
                continue;
            };
            let from_peer = matches!(source, Source::Peer(_));
            if heard.answer == StoreResponse::Compacted {
                if from_peer && places.sources.request_store_read(now()) {
                    continue;
                }
                info!(source:debug, revision = mirror.revision(); "history was dropped, reading all keys");
            }
            if matches!(&heard.answer, StoreResponse::Events { items, .. } if !items.is_empty()) {
                last_news = Some(Instant::now());
            }
            self.feed.record(&heard.answer, heard.at);
            mirror.handle_response(now(), heard.answer, &mut updates);
            if updates.is_empty() {
                continue;
            }
            let news = news(&mut updates, heard.at.elapsed(), mirror.revision());
            if !self.inbox.send(Input::News(news)) {
                return;
            }
        }
    }

    fn take_up_seeds(&self, places: &mut Places) {
        let current = self.seeds.peers();
        if !places.matches(&current) {
            info!(seeds:debug = current.0, role:debug = current.1; "other seeds are followed");
            *places = Places::new(current, self.seed);
        }
    }

    fn ask(&self, source: Source, places: &mut Places, call: &Call) -> Result<Heard, StoreError> {
        let at = match source {
            Source::Store => return self.ask_store(call),
            Source::Peer(at) => at,
        };
        let watch = match call {
            Call::Watch { after, wait } => {
                let patient = places.sources.is_current(source);
                let wait = if patient { wait.as_micros() } else { 0 };
                Some(FeedWatch {
                    after: *after,
                    wait: Duration::from_micros(wait),
                    is_seed: matches!(places.role, Role::Seed { .. }),
                })
            }
            Call::Range { .. } | Call::Backoff(_) => None,
        };
        self.ask_peer(&mut places.peers[at], watch)
    }

    fn ask_store(&self, call: &Call) -> Result<Heard, StoreError> {
        let answer = match call {
            Call::Range { after, stale } => self.store.range(PREFIX, after.as_deref(), *stale),
            Call::Watch { after, wait } => {
                let wait = Duration::from_micros(wait.as_micros());
                self.store.watch(PREFIX, *after, wait)
            }
            Call::Backoff(_) => Ok(StoreResponse::Failed),
        };
        answer.map(|answer| Heard {
            answer,
            at: Instant::now(),
        })
    }

    /// Watches another entry VM, or reads all keys that it knows.
    fn ask_peer(
        &self,
        peer: &mut SocketAddr,
        watch: Option<FeedWatch>,
    ) -> Result<Heard, StoreError> {
        let answer = match watch {
            Some(watch) => self.watch_peer(peer, watch)?,
            None => self.peers.all(*peer)?,
        };
        if answer.age > OLDEST_PEER_VIEW {
            let age_ms = answer.age.as_millis();
            return Err(StoreError::Malformed(format!(
                "the view is {age_ms} ms old"
            )));
        }
        Ok(Heard {
            answer: answer.answer,
            at: Instant::now()
                .checked_sub(answer.age)
                .unwrap_or_else(Instant::now),
        })
    }

    /// Watches a peer, or whom it names instead.
    fn watch_peer(
        &self,
        peer: &mut SocketAddr,
        watch: FeedWatch,
    ) -> Result<FeedAnswer, StoreError> {
        for _ in 0..MOST_HOPS {
            let answer = self.peers.after(*peer, watch)?;
            match answer.instead {
                None => return Ok(answer),
                Some(instead) if instead == self.own => break,
                Some(instead) => {
                    debug!(peer:display, instead:display; "sent to another entry VM");
                    *peer = instead;
                }
            }
        }
        Err(StoreError::Unavailable("sent on too often".to_owned()))
    }
}

/// Returns the least time between two watches after news.
const fn apart(source: Source) -> Duration {
    match source {
        Source::Store => WATCHES_APART,
        Source::Peer(_) => PEER_WATCHES_APART,
    }
}

/// Which sources failed, for one line a loss and a return.
#[derive(Debug, Default)]
struct Dependencies {
    failing: Vec<(Source, Instant)>,
}

impl Dependencies {
    fn note(&mut self, source: Source, err: Option<&StoreError>, revision: u64) {
        let known = self.failing.iter().position(|f| f.0 == source);
        match (known, err) {
            (None, Some(err)) => {
                self.failing.push((source, Instant::now()));
                warn!(dependency:debug = source, err:display, revision; "dependency lost");
            }
            (Some(at), None) => {
                let (_, since) = self.failing.swap_remove(at);
                let lost_ms = since.elapsed().as_millis() as u64;
                info!(dependency:debug = source, lost_ms, revision; "dependency regained");
            }
            _ => {}
        }
    }
}

fn news(updates: &mut Vec<Update>, age: Duration, revision: u64) -> News {
    let mut news = News {
        changes: Vec::new(),
        complete: false,
        current: false,
        age,
        revision,
    };
    for update in updates.drain(..) {
        match update {
            Update::Complete => news.complete = true,
            Update::Current => news.current = true,
            Update::Written { key, value, .. } => news.changes.extend(decode_change(&key, &value)),
            Update::Removed { key, .. } => {
                if let Some(name) = key.strip_prefix(TARGETS_PREFIX) {
                    news.changes
                        .push(Change::TargetRemoved { name: name.into() });
                }
            }
        }
    }
    news
}
