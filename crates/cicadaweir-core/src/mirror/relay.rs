//! Decides how requests of other entry VMs for the store's state are answered.
//!
//! Load pattern: hundreds of entry VMs start at once, or lose their source at
//! once, and thousands of targets may register meanwhile. Traffic between zones
//! is expensive, so one entry VM of each other zone is served directly and
//! serves the others of its zone.

use indexmap::IndexMap;

use crate::{
    flow::Endpoint,
    time::{Duration, Instant},
};

use super::{ChangeLog, HistoryError, Options, StoreResponse};

/// The number of followers that are served directly; further ones are redirected
/// to one of them. Thousands of simultaneous changes are sent to each follower
/// within seconds over a link of 10 Mbit/s, which carries the packets too.
const MAX_FOLLOWERS: usize = 8;

/// The time after its last request for which a follower is counted and others are
/// redirected to it: long enough for one watch to time out.
const FOLLOWER_TTL: Duration = Duration::from_millis(1_600);

/// The assumed age of a stale read: more than the seconds by which the store's stale
/// reads lag behind.
const STALE_READ_AGE: Duration = Duration::from_secs(10);

/// Another entry VM that watches this one.
#[derive(Debug)]
struct Follower {
    zone: Box<str>,
    last_request: Instant,
}

/// Who asks for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester<'a> {
    /// The address of its own feed, if it named one.
    pub from: Option<Endpoint>,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether it is a seed, which serves many others and is never redirected.
    pub is_seed: bool,
}

/// Whether a request for changes is served here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// It is answered by [`Relay::answer`].
    Accepted,
    /// The requester should ask this entry VM instead.
    Redirected(Endpoint),
    /// It can't be served.
    Refused,
}

/// A request for changes that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The revision after which changes are wanted.
    pub revision: u64,
    /// When the request is answered in any case.
    pub deadline: Instant,
    /// When the store had confirmed the state before the request. A later
    /// confirmation answers the request even without changes, so that it reaches
    /// the end of a chain of entry VMs at once.
    pub confirmed_at: Option<Instant>,
}

/// The answer to a request for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It has to wait.
    Wait,
    /// The changes, and the time since the store confirmed them.
    Changes(StoreResponse, Duration),
    /// Some of the changes have been evicted.
    Compacted,
    /// There is no recent view of the store here.
    Unavailable,
}

/// The store's state as this entry VM serves it to others.
#[derive(Debug, Default)]
pub struct Relay {
    options: Options,
    zone: Box<str>,
    log: ChangeLog,
    /// When the store last confirmed the state, directly or through other entry
    /// VMs; absent if no source is available.
    confirmed_at: Option<Instant>,
    /// When the state was last read, whether a source is available or not; earlier by
    /// [`STALE_READ_AGE`] if it was a stale read.
    read_at: Option<Instant>,
    followers: IndexMap<Endpoint, Follower>,
    next_redirect: usize,
    serves_seeds: bool,
}

impl Relay {
    /// Creates the relay of an entry VM in the named availability zone.
    pub fn new(zone: &str, options: Options) -> Self {
        Self {
            options,
            zone: zone.into(),
            ..Self::default()
        }
    }

    /// Records a response of the store or of another entry VM. `sent_at` is when the
    /// store sent the data; `is_stale` marks data that may be older than that.
    /// Stale data confirms nothing, and neither does compacted history.
    pub fn record(&mut self, response: &StoreResponse, sent_at: Instant, is_stale: bool) {
        self.log.record(response);
        let has_state = matches!(
            response,
            StoreResponse::Page { .. } | StoreResponse::Events { .. }
        );
        if has_state {
            let confirmed_at = (!is_stale).then_some(sent_at);
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
            let read_at = confirmed_at.unwrap_or(sent_at - STALE_READ_AGE);
            self.read_at = self.read_at.max(Some(read_at));
        }
    }

    /// Records that no source is available.
    pub fn mark_unavailable(&mut self) {
        self.confirmed_at = None;
    }

    /// Sets whether other seeds may follow this entry VM. It must be false while
    /// this entry VM follows a seed that may itself follow it.
    pub fn set_serves_seeds(&mut self, serves_seeds: bool) {
        self.serves_seeds = serves_seeds;
    }

    /// Decides whether a request for changes is served here.
    ///
    /// Without a recent view no entry VM is accepted or redirected: those that have
    /// lost their source would otherwise be redirected to one another.
    pub fn admit(&mut self, now: Instant, requester: Requester<'_>) -> Admittance {
        if self.recent_age(now).is_none() {
            return Admittance::Refused;
        }
        if requester.is_seed {
            return if self.serves_seeds {
                Admittance::Accepted
            } else {
                Admittance::Refused
            };
        }
        let redirect = requester
            .from
            .and_then(|from| self.add_follower(now, from, requester.zone));
        redirect.map_or(Admittance::Accepted, Admittance::Redirected)
    }

    /// Returns the answer to an accepted request.
    pub fn answer(&self, now: Instant, request: &ChangeRequest) -> Answer {
        let Some(age) = self.recent_age(now) else {
            return Answer::Unavailable;
        };
        let is_confirmed = self.confirmed_at > request.confirmed_at;
        match self.log.changes_after(request.revision) {
            Ok(StoreResponse::Events { items, .. })
                if items.is_empty() && !is_confirmed && now < request.deadline =>
            {
                Answer::Wait
            }
            Ok(response) => Answer::Changes(response, age),
            Err(HistoryError::Behind) => Answer::Unavailable,
            Err(HistoryError::Compacted) => Answer::Compacted,
        }
    }

    /// Returns all keys, and the time since they were read, however long that is:
    /// while the store is down, an entry VM that starts knows at least what the others
    /// know. None before the first read.
    pub fn all(&self, now: Instant) -> Option<(StoreResponse, Duration)> {
        Some((self.log.all()?, now.since(self.read_at?)))
    }

    /// Returns when the store last confirmed the state; none without a source.
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since the store confirmed the state, if it is at most
    /// [`Options::max_view_age`].
    fn recent_age(&self, now: Instant) -> Option<Duration> {
        let age = now.since(self.confirmed_at?);
        (age <= self.options.max_view_age).then_some(age)
    }

    /// Adds or refreshes a follower, or returns the entry VM to redirect it to. A new
    /// follower of another zone is redirected if its zone already has one. Above
    /// [`MAX_FOLLOWERS`] a new follower is redirected to the followers of its own zone
    /// in turn, and accepted if there are none.
    fn add_follower(&mut self, now: Instant, from: Endpoint, zone: &str) -> Option<Endpoint> {
        self.followers
            .retain(|_, follower| now.since(follower.last_request) < FOLLOWER_TTL);
        let mut others = self.followers.iter().filter(|(addr, _)| **addr != from);
        let same_zone = others
            .find(|(_, follower)| *follower.zone == *zone)
            .map(|f| *f.0);
        let known = self.followers.contains_key(&from);
        let redirect = if *zone != *self.zone && same_zone.is_some() && !known {
            same_zone
        } else if known || self.followers.len() < MAX_FOLLOWERS {
            None
        } else {
            let same_zone = self.followers.iter().filter(|(_, f)| *f.zone == *zone);
            let same_zone: Vec<Endpoint> = same_zone.map(|(addr, _)| *addr).collect();
            self.next_redirect = self.next_redirect.wrapping_add(1);
            same_zone
                .get(self.next_redirect % same_zone.len().max(1))
                .copied()
        };
        if redirect.is_none() {
            let follower = Follower {
                zone: zone.into(),
                last_request: now,
            };
            self.followers.insert(from, follower);
        }
        redirect
    }
}
