//! The catalog: arenas of services, addresses and targets.

use std::sync::Arc;

use hashbrown::DefaultHashBuilder;
use indexmap::IndexMap;

use crate::{
    flow::{Endpoint, FlowKey},
    load::Mark,
    placement::{self, BUCKETS, Generation},
    time::{Duration, Instant},
};

use super::{AddressKey, AddressSpec, NoteId, Revision, Service, ServiceKey, Target, TargetKey};

/// Everything that the release notes up to one revision leave.
///
/// Services and targets are shared between copies, so that a release note is
/// tried on a copy at the cost of what it touches.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    pub(super) revision: Revision,
    pub(super) note: NoteId,
    pub(super) services: Vec<Arc<Service>>,
    pub(super) by_name: IndexMap<Arc<str>, ServiceKey>,
    pub(super) targets: Vec<Arc<Target>>,
    pub(super) addresses: IndexMap<AddressSpec, ServiceKey, DefaultHashBuilder>,
    pub(super) options: placement::Options,
}

impl Catalog {
    /// Makes an empty catalog at revision 0.
    pub fn new(options: placement::Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the revision of the last applied note.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the identity of the last applied note.
    pub const fn note(&self) -> NoteId {
        self.note
    }

    /// Finds the address and service that a flow is for.
    pub fn lookup(&self, flow: &FlowKey) -> Option<(AddressKey, ServiceKey)> {
        let spec = AddressSpec {
            protocol: flow.protocol,
            endpoint: flow.address,
        };
        let (at, _, &service) = self.addresses.get_full(&spec)?;
        Some((AddressKey(at as u32), service))
    }

    /// Returns the protocol and endpoint of an address.
    pub fn address(&self, key: AddressKey) -> Option<&AddressSpec> {
        self.addresses.get_index(key.0 as usize).map(|(a, _)| a)
    }

    /// Returns a service.
    ///
    /// # Panics
    ///
    /// If the key is of another catalog.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0 as usize]
    }

    /// Returns a target.
    ///
    /// # Panics
    ///
    /// If the key is of another catalog.
    pub fn target(&self, key: TargetKey) -> &Target {
        &self.targets[key.0 as usize]
    }

    /// Finds a service by name.
    pub fn service_named(&self, name: &str) -> Option<ServiceKey> {
        self.by_name.get(name).copied()
    }

    /// Iterates over all services, withdrawn ones too.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        let keys = (0..).map(ServiceKey);
        keys.zip(self.services.iter().map(Arc::as_ref))
    }

    /// Iterates over all targets, withdrawn ones too.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        let keys = (0..).map(TargetKey);
        keys.zip(self.targets.iter().map(Arc::as_ref))
    }

    /// Finds the target of a service, withdrawn or not, whose tunnel endpoint
    /// has an IP address; ports of answers vary.
    pub fn target_at(&self, service: ServiceKey, from: &Endpoint) -> Option<TargetKey> {
        let service = self.service(service);
        service
            .generations
            .iter()
            .flat_map(|g| g.targets.iter())
            .map(|t| t.0)
            .find(|&t| self.target(t).spec.endpoint.ip == from.ip)
    }

    /// Sets the mark of a target; returns whether it changed.
    pub fn set_mark(&mut self, key: TargetKey, mark: Mark) -> bool {
        if self.target(key).mark == mark {
            return false;
        }
        let target = Arc::make_mut(&mut self.targets[key.0 as usize]);
        target.mark = mark;
        let service = target.service;
        self.refresh_ambiguous(service);
        true
    }

    /// Drops the oldest generations of a service while `retire` says so; the
    /// newest always stays.
    pub fn retire_generations(
        &mut self,
        key: ServiceKey,
        mut retire: impl FnMut(&placement::Generation) -> bool,
    ) {
        let generations = &mut Arc::make_mut(&mut self.services[key.0 as usize]).generations;
        let before = generations.len();
        while generations.len() > 1 && retire(&generations[0]) {
            generations.remove(0);
        }
        if generations.len() != before {
            self.refresh_ambiguous(key);
        }
    }

    /// Notes the time at which older generations went out of force.
    pub fn supersede(&mut self, in_force: Revision, now: Instant) {
        for service in &mut self.services {
            if service.generations.len() < 2 {
                continue;
            }
            let newest = service.in_force(in_force).revision;
            let open = |g: &Generation| g.revision < newest && g.superseded.is_none();
            if !service.generations.iter().any(open) {
                continue;
            }
            let generations = &mut Arc::make_mut(service).generations;
            for g in generations.iter_mut().filter(|g| open(g)) {
                g.superseded = Some(now);
            }
        }
    }

    /// Returns the services that have more than one live generation.
    pub fn multi_generation_services(&self) -> impl Iterator<Item = ServiceKey> {
        self.services()
            .filter(|(_, s)| s.generations.len() > 1)
            .map(|(key, _)| key)
    }

    /// Returns the share of a service's buckets that are ambiguous.
    pub fn ambiguous_share(&self, key: ServiceKey) -> f64 {
        let bits = &self.service(key).ambiguous;
        let set: u32 = bits.iter().map(|b| b.count_ones()).sum();
        f64::from(set) / BUCKETS as f64
    }

    /// Returns how long ago a generation was superseded.
    pub fn superseded_for(generation: &placement::Generation, now: Instant) -> Duration {
        generation
            .superseded
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Recomputes which buckets of a service are ambiguous.
    pub(super) fn refresh_ambiguous(&mut self, key: ServiceKey) {
        let targets = &self.targets;
        let service = Arc::make_mut(&mut self.services[key.0 as usize]);
        let mut bits = vec![0u64; BUCKETS / 64];
        for bucket in 0..BUCKETS {
            let base = service.generations[0].table[bucket];
            let differs = service.generations.iter().any(|g| {
                let target = g.table[bucket];
                target != base || targets[target.0 as usize].mark.deviates()
            });
            if differs {
                bits[bucket / 64] |= 1 << (bucket % 64);
            }
        }
        service.ambiguous = bits;
    }
}
