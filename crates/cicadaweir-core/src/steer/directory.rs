//! The known routes and targets.

use hashbrown::HashMap;
use indexmap::{IndexMap, IndexSet};

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    flow::Endpoint,
    time::{Duration, Instant},
};

use super::{Cookie, Identity, RequestKind, Route, RouteTable, TargetSpec, TargetState};

/// The number of dropped routes that are remembered. The flows of further ones continue.
const MAX_DROPPED_ROUTES: usize = 16_384;

/// A change of routes or targets in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The routes of the current configuration.
    Routes(RouteTable),
    /// A new or changed entry of a target.
    Target(TargetSpec),
    /// The entry of a target was removed or has become invalid.
    TargetRemoved {
        /// The target's name in the store.
        name: Box<str>,
    },
}

/// Whether a target's entry is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The entry is in the store.
    Listed,
    /// The entry was removed.
    Departed {
        /// When this entry VM processed the removal.
        since: Instant,
        /// Whether the target was draining before.
        was_draining: bool,
    },
}

/// A known target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its name in the store.
    pub name: Box<str>,
    /// Its identity.
    pub identity: Identity,
    /// Its service.
    pub service: ServiceKey,
    /// Where it receives packets.
    pub address: Endpoint,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of requests that it processes concurrently, at least one.
    pub slots: u32,
    /// Whether it accepts new flows.
    pub state: TargetState,
    /// The end of its warm-up.
    pub warm_at: Instant,
    /// When it started, in milliseconds since the Unix epoch, if its entry says
    /// so.
    pub born: Option<u64>,
    /// Whether its entry is in the store.
    pub presence: Presence,
}

impl TargetEntry {
    /// Returns whether the target is eligible for new flows: listed and ready.
    pub fn is_eligible(&self) -> bool {
        self.presence == Presence::Listed && self.state == TargetState::Ready
    }
}

/// A route with the keys of its services.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ResolvedRoute {
    services: Vec<(ServiceKey, u32)>,
    kind: RequestKind,
    aim: Option<Duration>,
    timeout: Option<Duration>,
    priority: u8,
}

/// The route of a new flow, with the service that was selected for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMatch {
    /// The service.
    pub service: ServiceKey,
    /// The kind of the route's requests.
    pub kind: RequestKind,
    /// The latency objective of its requests.
    pub aim: Option<Duration>,
    /// The time after which its requests are given up.
    pub timeout: Option<Duration>,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
}

/// What this entry VM knows of an address for which a service is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteStatus {
    /// Its route leads to the service, among others.
    Allowed(RequestKind),
    /// Its route leads to other services alone.
    OtherService,
    /// Its route was in an earlier version of the configuration, and isn't in this one.
    Dropped,
    /// No version that this entry VM has seen has a route for it. A newer one may have.
    Unknown,
}

/// The routes and targets that this entry VM knows.
#[derive(Debug, Default)]
pub struct Directory {
    version: Option<u64>,
    idle_timeout: Duration,
    routes: IndexMap<Endpoint, ResolvedRoute>,
    /// The addresses whose routes were dropped, with the time of that; oldest first.
    dropped_routes: IndexMap<Endpoint, Instant>,
    services: IndexSet<Box<str>>,
    zones: IndexSet<Box<str>>,
    targets: Vec<Option<TargetEntry>>,
    free: Vec<TargetKey>,
    by_name: HashMap<Box<str>, TargetKey>,
    by_cookie: HashMap<Cookie, TargetKey>,
    targets_by_service: Vec<Vec<TargetKey>>,
}

/// The effect of a [`Change`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The routes were replaced by those of a newer version.
    Routes,
    /// The routes were ignored: their version isn't newer.
    StaleRoutes,
    /// A target is new or was restarted under its name; what was known about
    /// whether it answers is void.
    NewTarget(TargetKey),
    /// The entry of a known target was replaced.
    UpdatedTarget(TargetKey),
    /// The entry of a target was removed.
    Departed(TargetKey),
    /// The target was not added, so it gets no flows: another one has the same
    /// cookie.
    CookieCollision,
    /// The change had no effect.
    Unchanged,
}

impl Directory {
    /// Applies a change.
    pub fn apply(&mut self, now: Instant, change: Change) -> Applied {
        match change {
            Change::Routes(table) => self.set_routes(now, table),
            Change::Target(spec) => self.set_target(now, spec),
            Change::TargetRemoved { name } => self.mark_departed(now, &name),
        }
    }

    /// Returns the ID of an availability zone, which is assigned at its first
    /// use.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        let (at, _) = self.zones.insert_full(name.into());
        ZoneId(at as u16)
    }

    /// Returns the number of known availability zones.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the name of a zone; empty if it is unknown.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones
            .get_index(usize::from(zone.0))
            .map_or("", |name| name)
    }

    /// Returns the name of a service; empty if it is unknown.
    pub fn service_name(&self, service: ServiceKey) -> &str {
        self.services
            .get_index(service.0 as usize)
            .map_or("", |name| name)
    }

    /// Returns the version of the configuration; none before the first one.
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns how long a flow may be idle before its state may be evicted.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the route of a new flow to an address; the random number `draw`
    /// selects among services that share it, by weight.
    pub fn route(&self, address: &Endpoint, draw: u64) -> Option<RouteMatch> {
        let route = self.routes.get(address)?;
        let total: u64 = route.services.iter().map(|s| u64::from(s.1)).sum();
        let mut offset = draw % total.max(1);
        let mut selected = route.services.first()?.0;
        for &(service, weight) in &route.services {
            if offset < u64::from(weight) {
                selected = service;
                break;
            }
            offset -= u64::from(weight);
        }
        Some(RouteMatch {
            service: selected,
            kind: route.kind,
            aim: route.aim,
            timeout: route.timeout,
            priority: route.priority,
        })
    }

    /// Returns the latency objective of the requests to an address.
    pub fn aim(&self, address: &Endpoint) -> Option<Duration> {
        self.routes.get(address)?.aim
    }

    /// Returns the number of known services.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns all routes as address, services with their weights, and kind of
    /// requests.
    pub fn routes(&self) -> impl Iterator<Item = (&Endpoint, &[(ServiceKey, u32)], RequestKind)> {
        let routes = self.routes.iter();
        routes.map(|(address, route)| (address, &*route.services, route.kind))
    }

    /// Returns whether the route of an address leads to a service.
    pub fn route_status(&self, address: &Endpoint, service: ServiceKey) -> RouteStatus {
        match self.routes.get(address) {
            Some(route) if route.services.iter().any(|s| s.0 == service) => {
                RouteStatus::Allowed(route.kind)
            }
            Some(_) => RouteStatus::OtherService,
            None if self.dropped_routes.contains_key(address) => RouteStatus::Dropped,
            None => RouteStatus::Unknown,
        }
    }

    /// Returns a target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key.0 as usize)?.as_ref()
    }

    /// Returns the targets of a service that are eligible for new flows.
    pub fn eligible_targets(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let keys = self.service_targets(service).iter();
        let entries = keys.filter_map(|&key| Some((key, self.target(key)?)));
        entries.filter(|(_, entry)| entry.is_eligible())
    }

    /// Returns the target that a cookie names.
    pub fn by_cookie(&self, cookie: Cookie) -> Option<TargetKey> {
        self.by_cookie.get(&cookie).copied()
    }

    /// Returns the target with a name.
    pub fn by_name(&self, name: &str) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns all targets of a service, including departed ones.
    pub fn service_targets(&self, service: ServiceKey) -> &[TargetKey] {
        self.targets_by_service
            .get(service.0 as usize)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let entries = self.targets.iter().enumerate();
        entries.filter_map(|(at, entry)| Some((TargetKey(at as u32), entry.as_ref()?)))
    }

    /// Returns the highest key ever used plus one: the length of a vector that is
    /// indexed by target keys.
    pub fn capacity(&self) -> usize {
        self.targets.len()
    }

    /// Evicts targets that departed longer than `ttl` ago, so that their keys can
    /// be reused; calls `each` for each of them.
    pub fn evict_departed(&mut self, now: Instant, ttl: Duration, mut each: impl FnMut(TargetKey)) {
        for at in 0..self.targets.len() {
            let expired = self.targets[at].as_ref().is_some_and(|entry| {
                matches!(entry.presence, Presence::Departed { since, .. } if now.since(since) > ttl)
            });
            if expired {
                let key = TargetKey(at as u32);
                self.remove(key);
                each(key);
            }
        }
    }

    /// Forgets routes that were dropped longer than `ttl` ago.
    pub fn evict_dropped_routes(&mut self, now: Instant, ttl: Duration) {
        let is_expired = |at: &Instant| now.since(*at) > ttl;
        let expired = self.dropped_routes.values().take_while(|at| is_expired(at));
        let expired = expired.count();
        self.dropped_routes.drain(..expired);
    }

    fn service(&mut self, name: &str) -> ServiceKey {
        let (at, _) = self.services.insert_full(name.into());
        if self.targets_by_service.len() <= at {
            self.targets_by_service.resize_with(at + 1, Vec::new);
        }
        ServiceKey(at as u32)
    }

    fn set_routes(&mut self, now: Instant, table: RouteTable) -> Applied {
        if self.version.is_some_and(|version| table.version <= version) {
            return Applied::StaleRoutes;
        }
        self.version = Some(table.version);
        self.idle_timeout = table.idle_timeout;
        let routes = table.routes.into_iter();
        let routes = routes.map(|(address, route)| (address, self.resolve(route)));
        let routes: IndexMap<_, _> = routes.collect();
        self.dropped_routes
            .retain(|address, _| !routes.contains_key(address));
        for address in std::mem::take(&mut self.routes).into_keys() {
            if !routes.contains_key(&address) {
                self.dropped_routes.insert(address, now);
            }
        }
        let excess = self.dropped_routes.len().saturating_sub(MAX_DROPPED_ROUTES);
        self.dropped_routes.drain(..excess);
        self.routes = routes;
        Applied::Routes
    }

    fn resolve(&mut self, route: Route) -> ResolvedRoute {
        let services = route.services.iter();
        ResolvedRoute {
            services: services
                .map(|(name, weight)| (self.service(name), *weight))
                .collect(),
            kind: route.kind,
            aim: route.aim,
            timeout: route.timeout,
            priority: route.priority,
        }
    }

    fn set_target(&mut self, now: Instant, spec: TargetSpec) -> Applied {
        let entry = TargetEntry {
            service: self.service(&spec.service),
            zone: self.zone(&spec.zone),
            name: spec.name,
            identity: spec.identity,
            address: spec.address,
            slots: spec.slots.max(1),
            state: spec.state,
            warm_at: now + spec.warmup_left,
            born: spec.born,
            presence: Presence::Listed,
        };
        let Some(&key) = self.by_name.get(&entry.name) else {
            return self.add(entry);
        };
        let Some(known) = self.targets[key.0 as usize].as_mut() else {
            return Applied::Unchanged;
        };
        let restarted = known.born != entry.born || known.address != entry.address;
        if known.service != entry.service {
            self.remove(key);
            return self.add(entry);
        }
        *known = entry;
        if restarted {
            Applied::NewTarget(key)
        } else {
            Applied::UpdatedTarget(key)
        }
    }

    fn add(&mut self, entry: TargetEntry) -> Applied {
        let cookie = Cookie::of(entry.identity);
        if self.by_cookie.contains_key(&cookie) {
            return Applied::CookieCollision;
        }
        let key = self.free.pop().unwrap_or_else(|| {
            self.targets.push(None);
            TargetKey(self.targets.len() as u32 - 1)
        });
        self.by_cookie.insert(cookie, key);
        self.by_name.insert(entry.name.clone(), key);
        self.targets_by_service[entry.service.0 as usize].push(key);
        self.targets[key.0 as usize] = Some(entry);
        Applied::NewTarget(key)
    }

    fn mark_departed(&mut self, now: Instant, name: &str) -> Applied {
        let Some(&key) = self.by_name.get(name) else {
            return Applied::Unchanged;
        };
        let Some(entry) = self.targets[key.0 as usize].as_mut() else {
            return Applied::Unchanged;
        };
        if entry.presence != Presence::Listed {
            return Applied::Unchanged;
        }
        entry.presence = Presence::Departed {
            since: now,
            was_draining: entry.state == TargetState::Draining,
        };
        Applied::Departed(key)
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(entry) = self.targets[key.0 as usize].take() else {
            return;
        };
        self.by_cookie.remove(&Cookie::of(entry.identity));
        self.by_name.remove(&entry.name);
        self.targets_by_service[entry.service.0 as usize].retain(|&other| other != key);
        self.free.push(key);
    }
}
