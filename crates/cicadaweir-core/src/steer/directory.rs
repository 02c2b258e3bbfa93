//! Which targets and routes exist.

use hashbrown::HashMap;
use indexmap::{IndexMap, IndexSet};

use crate::{
    catalog::{ServiceKey, TargetKey, ZoneId},
    flow::Endpoint,
    time::{Duration, Instant},
};

use super::{Cookie, Identity, RequestKind, Route, RouteTable, TargetSpec, TargetState};

/// News about routes and targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The configuration in force.
    Routes(RouteTable),
    /// A target's entry, new or changed.
    Target(TargetSpec),
    /// A target's entry has gone, or can't be read any more.
    TargetRemoved {
        /// The target's name in the store.
        name: Box<str>,
    },
}

/// Whether a target's entry is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is.
    Listed,
    /// It has gone.
    Departed {
        /// When that was learned.
        since: Instant,
        /// Whether the target had announced it by draining.
        announced: bool,
    },
}

/// A target in the arena.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its name in the store.
    pub name: Box<str>,
    /// Its identity.
    pub identity: Identity,
    /// Its service.
    pub service: ServiceKey,
    /// Where it takes packets.
    pub address: Endpoint,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it processes at the same time, at least one.
    pub slots: u32,
    /// Whether it wants new flows.
    pub state: TargetState,
    /// Until when it is slow.
    pub warm_at: Instant,
    /// When it started, as it says itself.
    pub born: Option<u64>,
    /// Whether it is in the store.
    pub presence: Presence,
}

impl TargetEntry {
    /// Returns whether the target takes new flows.
    pub fn is_eligible(&self) -> bool {
        self.presence == Presence::Listed && self.state == TargetState::Ready
    }
}

/// A route with its services' keys.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KeyedRoute {
    services: Vec<(ServiceKey, u32)>,
    kind: RequestKind,
}

/// Routes and targets, as far as this entry VM knows.
#[derive(Debug, Default)]
pub struct Directory {
    version: Option<u64>,
    idle_timeout: Duration,
    routes: IndexMap<Endpoint, KeyedRoute>,
    services: IndexSet<Box<str>>,
    zones: IndexSet<Box<str>>,
    targets: Vec<Option<TargetEntry>>,
    free: Vec<TargetKey>,
    by_name: HashMap<Box<str>, TargetKey>,
    by_cookie: HashMap<Cookie, TargetKey>,
    targets_by_service: Vec<Vec<TargetKey>>,
}

/// What taking in a [`Change`] came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// Routes of a new version are in force.
    Routes,
    /// An older or the same version; ignored.
    StaleRoutes,
    /// A target is new, or runs anew under its name: nothing that was known
    /// of its work holds.
    NewTarget(TargetKey),
    /// A known target has changed.
    UpdatedTarget(TargetKey),
    /// A target has departed.
    Departed(TargetKey),
    /// Another target has the same cookie; this one gets no flows.
    CookieCollision,
    /// Nothing has changed.
    Unchanged,
}

impl Directory {
    /// Takes in a change.
    pub fn apply(&mut self, now: Instant, change: Change) -> Applied {
        match change {
            Change::Routes(table) => self.set_routes(table),
            Change::Target(spec) => self.set_target(now, spec),
            Change::TargetRemoved { name } => self.depart(now, &name),
        }
    }

    /// Returns the number of an availability zone, by its name.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        let (at, _) = self.zones.insert_full(name.into());
        ZoneId(at as u16)
    }

    /// Returns how many availability zones have been heard of.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the name of a zone.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones
            .get_index(usize::from(zone.0))
            .map_or("", |name| name)
    }

    /// Returns the name of a service.
    pub fn service_name(&self, service: ServiceKey) -> &str {
        self.services
            .get_index(service.0 as usize)
            .map_or("", |name| name)
    }

    /// Returns the configuration's version, once one is known.
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns how long a flow may be idle.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the service that takes a new flow to an address, and the kind
    /// of its requests; `draw` picks among services that share a route.
    pub fn route(&self, address: &Endpoint, draw: u64) -> Option<(ServiceKey, RequestKind)> {
        let route = self.routes.get(address)?;
        let total: u64 = route.services.iter().map(|s| u64::from(s.1)).sum();
        let mut left = draw % total.max(1);
        for &(service, weight) in &route.services {
            if left < u64::from(weight) {
                return Some((service, route.kind));
            }
            left -= u64::from(weight);
        }
        route.services.first().map(|s| (s.0, route.kind))
    }

    /// Returns all routes: the address, its services with their weights, and
    /// the kind of its requests.
    pub fn routes(&self) -> impl Iterator<Item = (&Endpoint, &[(ServiceKey, u32)], RequestKind)> {
        let routes = self.routes.iter();
        routes.map(|(address, route)| (address, &*route.services, route.kind))
    }

    /// Returns whether a route's flows may belong to a service, and their kind.
    pub fn allows(&self, address: &Endpoint, service: ServiceKey) -> Option<(bool, RequestKind)> {
        let route = self.routes.get(address)?;
        let allowed = route.services.iter().any(|s| s.0 == service);
        Some((allowed, route.kind))
    }

    /// Returns a target.
    pub fn target(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key.0 as usize)?.as_ref()
    }

    /// Returns the targets of a service that take new flows.
    pub fn eligible_targets(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let members = self.service_targets(service).iter();
        let entries = members.filter_map(|&key| Some((key, self.target(key)?)));
        entries.filter(|(_, entry)| entry.is_eligible())
    }

    /// Returns the target that a cookie names.
    pub fn by_cookie(&self, cookie: Cookie) -> Option<TargetKey> {
        self.by_cookie.get(&cookie).copied()
    }

    /// Returns the target of a name.
    pub fn by_name(&self, name: &str) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the targets of a service, departed ones among them.
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

    /// Returns the highest key plus one, for arenas beside this one.
    pub fn capacity(&self) -> usize {
        self.targets.len()
    }

    /// Forgets targets that departed long ago, so that their keys may be used
    /// again; `each` gets them.
    pub fn forget_departed(
        &mut self,
        now: Instant,
        memory: Duration,
        mut each: impl FnMut(TargetKey),
    ) {
        for at in 0..self.targets.len() {
            let old = self.targets[at].as_ref().is_some_and(|entry| {
                matches!(entry.presence, Presence::Departed { since, .. } if now.since(since) > memory)
            });
            if old {
                let key = TargetKey(at as u32);
                self.remove(key);
                each(key);
            }
        }
    }

    fn service(&mut self, name: &str) -> ServiceKey {
        let (at, _) = self.services.insert_full(name.into());
        if self.targets_by_service.len() <= at {
            self.targets_by_service.resize_with(at + 1, Vec::new);
        }
        ServiceKey(at as u32)
    }

    fn set_routes(&mut self, table: RouteTable) -> Applied {
        if self.version.is_some_and(|version| table.version <= version) {
            return Applied::StaleRoutes;
        }
        self.version = Some(table.version);
        self.idle_timeout = table.idle_timeout;
        self.routes = table
            .routes
            .into_iter()
            .map(|(address, route)| (address, self.keyed(route)))
            .collect();
        Applied::Routes
    }

    fn keyed(&mut self, route: Route) -> KeyedRoute {
        let services = route.services.iter();
        KeyedRoute {
            services: services
                .map(|(name, weight)| (self.service(name), *weight))
                .collect(),
            kind: route.kind,
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

    fn depart(&mut self, now: Instant, name: &str) -> Applied {
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
            announced: entry.state == TargetState::Draining,
        };
        Applied::Departed(key)
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(entry) = self.targets[key.0 as usize].take() else {
            return;
        };
        self.by_cookie.remove(&Cookie::of(entry.identity));
        self.by_name.remove(&entry.name);
        self.targets_by_service[entry.service.0 as usize].retain(|&member| member != key);
        self.free.push(key);
    }
}
