//! Snapshots of a catalog, split into parts.
//!
//! A new member loads a snapshot instead of replaying every release note. All
//! services and targets are copied in order, including withdrawn ones, so that
//! keys are the same on members that replayed the notes and on members that
//! loaded a snapshot. Bucket tables are rebuilt, as they are pure functions of
//! the contents of the parts.

use std::sync::Arc;

use crate::{
    hash,
    load::Mark,
    placement::{self, Generation},
    time::{Duration, Instant},
};

use super::{
    AddressKey, AddressSpec, Catalog, NoteId, Revision, Service, ServiceKey, Target, TargetKey,
    TargetSpec,
};

/// The maximum number of targets in a part.
const TARGETS_PER_PART: usize = 24;

/// The maximum number of services in a part.
const SERVICES_PER_PART: usize = 4;

/// A part of a catalog snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The revision of the catalog.
    pub revision: Revision,
    /// The identifier of the last release note applied to the catalog.
    pub note: NoteId,
    /// The number of the part, counted from 0.
    pub number: u32,
    /// The total number of parts of the snapshot.
    pub count: u32,
    /// The targets or services of the part.
    pub content: Content,
}

/// The content of a part, in order of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// Targets.
    Targets(Vec<TargetPart>),
    /// Services.
    Services(Vec<ServicePart>),
}

/// A target in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPart {
    /// The service to which the target belongs.
    pub service: ServiceKey,
    /// The definition from the latest release note that adds or changes the
    /// target.
    pub spec: TargetSpec,
    /// Whether the target is withdrawn.
    pub withdrawn: bool,
}

/// A service in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePart {
    /// The name.
    pub name: String,
    /// The addresses with their keys.
    pub addresses: Vec<(AddressKey, AddressSpec)>,
    /// The revision that withdrew the service, or `None` if it is active.
    pub withdrawn: Option<Revision>,
    /// The live generations, oldest first.
    pub generations: Vec<GenerationPart>,
}

/// A generation in a snapshot, without its bucket table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationPart {
    /// The revision of the release note that created the generation.
    pub revision: Revision,
    /// The time since the generation was superseded, or `None` if it is not.
    pub superseded: Option<Duration>,
    /// The targets with their weights, in order of target names.
    pub targets: Vec<(TargetKey, u16)>,
}

/// The parts do not form a complete and consistent snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidSnapshot;

impl Catalog {
    /// Returns the number of parts of a snapshot of this catalog.
    pub fn parts(&self) -> u32 {
        let targets = self.targets.len().div_ceil(TARGETS_PER_PART);
        let services = self.services.len().div_ceil(SERVICES_PER_PART);
        (targets + services) as u32
    }

    /// Returns the part with a number, or `None` if there is none.
    pub fn part(&self, number: u32, now: Instant) -> Option<Part> {
        let target_parts = self.targets.len().div_ceil(TARGETS_PER_PART) as u32;
        let content = if number < target_parts {
            let chunk = self.targets.chunks(TARGETS_PER_PART).nth(number as usize)?;
            Content::Targets(chunk.iter().map(|t| target_part(t)).collect())
        } else {
            let index = (number - target_parts) as usize;
            let chunk = self.services.chunks(SERVICES_PER_PART).nth(index)?;
            Content::Services(chunk.iter().map(|s| self.service_part(s, now)).collect())
        };
        Some(Part {
            revision: self.revision,
            note: self.note,
            number,
            count: self.parts(),
            content,
        })
    }

    fn service_part(&self, service: &Service, now: Instant) -> ServicePart {
        let addresses = service.addresses.iter();
        ServicePart {
            name: service.name.clone(),
            addresses: addresses
                .filter_map(|&key| Some((key, *self.address(key)?)))
                .collect(),
            withdrawn: service.withdrawn,
            generations: service
                .generations
                .iter()
                .map(|g| GenerationPart {
                    revision: g.revision,
                    superseded: g.superseded.map(|at| now.since(at)),
                    targets: g.targets.to_vec(),
                })
                .collect(),
        }
    }

    /// Restores a catalog from all parts of a snapshot, in order of their
    /// numbers.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSnapshot`] if a part is missing, is out of order or
    /// belongs to another snapshot, or if its contents are inconsistent, such
    /// as a reference to an unknown target.
    pub fn from_parts(
        parts: &[Part],
        options: placement::Options,
        now: Instant,
    ) -> Result<Self, InvalidSnapshot> {
        let first = parts.first().ok_or(InvalidSnapshot)?;
        let mut catalog = Self::new(options);
        catalog.revision = first.revision;
        catalog.note = first.note;
        let mut services = Vec::new();
        for (number, part) in (0..).zip(parts) {
            let same_snapshot = part.revision == first.revision && part.count == first.count;
            if !same_snapshot || part.number != number {
                return Err(InvalidSnapshot);
            }
            match &part.content {
                Content::Targets(targets) => catalog.targets.extend(targets.iter().map(target)),
                Content::Services(more) => services.extend(more),
            }
        }
        if parts.len() != first.count as usize {
            return Err(InvalidSnapshot);
        }
        catalog.restore_addresses(&services)?;
        for part in services {
            catalog.restore_service(part, now)?;
        }
        Ok(catalog)
    }

    /// Inserts the addresses so that each gets the index given by its key.
    fn restore_addresses(&mut self, services: &[&ServicePart]) -> Result<(), InvalidSnapshot> {
        let mut addresses: Vec<(AddressKey, AddressSpec, ServiceKey)> = Vec::new();
        for (index, part) in (0..).zip(services) {
            let part_addresses = part.addresses.iter();
            addresses.extend(part_addresses.map(|&(key, spec)| (key, spec, ServiceKey(index))));
        }
        addresses.sort_unstable_by_key(|a| a.0);
        for (key, spec, service) in addresses {
            let (index, previous) = self.addresses.insert_full(spec, service);
            if index != key.0 as usize || previous.is_some() {
                return Err(InvalidSnapshot);
            }
        }
        Ok(())
    }

    fn restore_service(&mut self, part: &ServicePart, now: Instant) -> Result<(), InvalidSnapshot> {
        let key = ServiceKey(self.services.len() as u32);
        let seed = hash::name(&part.name);
        let active = (0..)
            .zip(&self.targets)
            .filter(|(_, t)| t.service == key && !t.withdrawn);
        let targets = active
            .map(|(index, t)| (t.spec.name.clone(), TargetKey(index)))
            .collect();
        let generations = part.generations.iter();
        let generations = generations
            .map(|g| self.restore_generation(seed, g, now))
            .collect::<Result<Vec<_>, _>>()?;
        if generations.is_empty() {
            return Err(InvalidSnapshot);
        }
        self.by_name.insert(part.name.as_str().into(), key);
        self.services.push(Arc::new(Service {
            name: part.name.clone(),
            seed,
            addresses: part.addresses.iter().map(|a| a.0).collect(),
            targets,
            withdrawn: part.withdrawn,
            generations,
            ambiguous: Vec::new(),
        }));
        self.refresh_ambiguous(key);
        Ok(())
    }

    fn restore_generation(
        &self,
        seed: u64,
        part: &GenerationPart,
        now: Instant,
    ) -> Result<Generation, InvalidSnapshot> {
        let candidates = part
            .targets
            .iter()
            .map(|&(key, weight)| {
                let target = self.targets.get(key.0 as usize).ok_or(InvalidSnapshot)?;
                Ok((key, hash::name(&target.spec.name), weight))
            })
            .collect::<Result<Vec<_>, InvalidSnapshot>>()?;
        if candidates.is_empty() || candidates.iter().any(|c| c.2 == 0) {
            return Err(InvalidSnapshot);
        }
        Ok(Generation {
            revision: part.revision,
            superseded: part.superseded.map(|age| now - age),
            targets: part.targets.as_slice().into(),
            table: placement::build(seed, &candidates, self.options).into(),
        })
    }
}

fn target_part(target: &Target) -> TargetPart {
    TargetPart {
        service: target.service,
        spec: target.spec.clone(),
        withdrawn: target.withdrawn,
    }
}

fn target(part: &TargetPart) -> Arc<Target> {
    Arc::new(Target {
        service: part.service,
        spec: part.spec.clone(),
        withdrawn: part.withdrawn,
        mark: Mark::Normal,
    })
}
