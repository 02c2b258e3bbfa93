//! A catalog in parts, for newcomers that need not replay every release note.
//!
//! The arenas are copied with their positions, withdrawn services and targets
//! included, so that keys mean the same to members that replayed the notes and
//! to members that took a snapshot. Tables are built again: they are pure
//! functions of what the parts say.

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

/// Targets in one part.
const TARGETS_A_PART: usize = 24;

/// Services in one part.
const SERVICES_A_PART: usize = 4;

/// One part of a catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The revision of the catalog.
    pub revision: Revision,
    /// The identity of its last release note.
    pub note: NoteId,
    /// The part's number, from 0.
    pub number: u32,
    /// The number of parts.
    pub count: u32,
    /// What it holds.
    pub content: Content,
}

/// What a part holds, in the order of the arenas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// Targets.
    Targets(Vec<TargetPart>),
    /// Services.
    Services(Vec<ServicePart>),
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetPart {
    /// Its service.
    pub service: ServiceKey,
    /// What the latest release note says of it.
    pub spec: TargetSpec,
    /// Whether it is withdrawn.
    pub withdrawn: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePart {
    /// The name.
    pub name: String,
    /// The addresses with their positions.
    pub addresses: Vec<(AddressKey, AddressSpec)>,
    /// The revision that withdrew it, if any.
    pub withdrawn: Option<Revision>,
    /// The live generations, oldest first.
    pub generations: Vec<GenerationPart>,
}

/// One generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationPart {
    /// The revision.
    pub revision: Revision,
    /// How long ago it was superseded, if it is.
    pub superseded: Option<Duration>,
    /// The targets with their weights, in name order.
    pub targets: Vec<(TargetKey, u16)>,
}

/// The parts do not make a catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidSnapshot;

impl Catalog {
    /// Returns the number of parts of this catalog.
    pub fn parts(&self) -> u32 {
        let targets = self.targets.len().div_ceil(TARGETS_A_PART);
        let services = self.services.len().div_ceil(SERVICES_A_PART);
        (targets + services) as u32
    }

    /// Returns one part, if there is one of that number.
    pub fn part(&self, number: u32, now: Instant) -> Option<Part> {
        let target_parts = self.targets.len().div_ceil(TARGETS_A_PART) as u32;
        let content = if number < target_parts {
            let chunk = self.targets.chunks(TARGETS_A_PART).nth(number as usize)?;
            Content::Targets(chunk.iter().map(|t| target_part(t)).collect())
        } else {
            let nth = (number - target_parts) as usize;
            let chunk = self.services.chunks(SERVICES_A_PART).nth(nth)?;
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

    /// Makes a catalog from all parts, in order.
    ///
    /// # Errors
    ///
    /// [`InvalidSnapshot`] if a part is missing or names what does not exist.
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
            let same = part.revision == first.revision && part.count == first.count;
            if !same || part.number != number {
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

    /// Puts the addresses at the positions that their keys name.
    fn restore_addresses(&mut self, services: &[&ServicePart]) -> Result<(), InvalidSnapshot> {
        let mut addresses: Vec<(AddressKey, AddressSpec, ServiceKey)> = Vec::new();
        for (at, part) in (0..).zip(services) {
            let each = part.addresses.iter();
            addresses.extend(each.map(|&(key, spec)| (key, spec, ServiceKey(at))));
        }
        addresses.sort_unstable_by_key(|a| a.0);
        for (key, spec, service) in addresses {
            let (at, old) = self.addresses.insert_full(spec, service);
            if at != key.0 as usize || old.is_some() {
                return Err(InvalidSnapshot);
            }
        }
        Ok(())
    }

    fn restore_service(&mut self, part: &ServicePart, now: Instant) -> Result<(), InvalidSnapshot> {
        let key = ServiceKey(self.services.len() as u32);
        let seed = hash::name(&part.name);
        let live = (0..)
            .zip(&self.targets)
            .filter(|(_, t)| t.service == key && !t.withdrawn);
        let targets = live
            .map(|(at, t)| (t.spec.name.clone(), TargetKey(at)))
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
