//! Applying a release note.

use std::sync::Arc;

use crate::{hash, load::Mark, placement};

use super::{
    AddressKey, Catalog, Change, MAX_ADDRESSES, NoteError, ReleaseNote, Service, ServiceKey,
    ServiceSpec, Target, TargetKey, TargetSpec,
};

const MOST_WEIGHT: u16 = 1000;
const LONGEST_NAME: usize = 63;

impl Catalog {
    /// Applies the next release note and returns the services it touched.
    ///
    /// # Errors
    ///
    /// [`NoteError`] if the note does not fit; the catalog stays as it was.
    pub fn apply(&mut self, note: &ReleaseNote) -> Result<Vec<ServiceKey>, NoteError> {
        if note.revision != self.revision.next() {
            return Err(NoteError::OutOfOrder {
                have: self.revision,
                note: note.revision,
            });
        }
        if note.changes.is_empty() {
            return Err(NoteError::Empty);
        }
        let mut draft = self.clone();
        let mut touched = Vec::new();
        for change in &note.changes {
            let key = draft.apply_change(change)?;
            if !touched.contains(&key) {
                touched.push(key);
            }
        }
        for &key in &touched {
            draft.add_generation(key, note.revision)?;
        }
        draft.revision = note.revision;
        draft.note = note.id;
        *self = draft;
        Ok(touched)
    }

    fn apply_change(&mut self, change: &Change) -> Result<ServiceKey, NoteError> {
        match change {
            Change::AddService(spec) => self.add_service(spec),
            Change::WithdrawService { service } => {
                let key = self.live_service(service)?;
                let withdrawn = Some(self.revision.next());
                self.service_mut(key).withdrawn = withdrawn;
                Ok(key)
            }
            Change::AddTarget { service, target } => {
                let key = self.live_service(service)?;
                self.add_target(key, target)?;
                Ok(key)
            }
            Change::ChangeTarget { service, target } => self.change_target(service, target),
            Change::WithdrawTarget { service, target } => self.withdraw_target(service, target),
        }
    }

    fn service_mut(&mut self, key: ServiceKey) -> &mut Service {
        Arc::make_mut(&mut self.services[key.0 as usize])
    }

    fn live_service(&self, name: &str) -> Result<ServiceKey, NoteError> {
        self.service_named(name)
            .filter(|&key| self.service(key).withdrawn.is_none())
            .ok_or_else(|| NoteError::ServiceUnknown(name.to_owned()))
    }

    fn add_service(&mut self, spec: &ServiceSpec) -> Result<ServiceKey, NoteError> {
        check_name(&spec.name)?;
        if self.by_name.contains_key(spec.name.as_str()) {
            return Err(NoteError::ServiceExists(spec.name.clone()));
        }
        if spec.addresses.is_empty() {
            return Err(NoteError::WithoutAddress(spec.name.clone()));
        }
        let key = ServiceKey(self.services.len() as u32);
        self.services.push(Arc::new(Service {
            name: spec.name.clone(),
            seed: hash::name(&spec.name),
            addresses: Vec::new(),
            targets: Default::default(),
            withdrawn: None,
            generations: Vec::new(),
            ambiguous: Vec::new(),
        }));
        self.by_name.insert(spec.name.as_str().into(), key);
        for address in &spec.addresses {
            if let Some(&owner) = self.addresses.get(address) {
                let owner = self.service(owner).name.clone();
                return Err(NoteError::AddressTaken(*address, owner));
            }
            if self.addresses.len() >= MAX_ADDRESSES {
                return Err(NoteError::TooManyAddresses);
            }
            let (at, _) = self.addresses.insert_full(*address, key);
            let address = AddressKey(at as u32);
            self.service_mut(key).addresses.push(address);
        }
        for target in &spec.targets {
            self.add_target(key, target)?;
        }
        Ok(key)
    }

    fn add_target(&mut self, key: ServiceKey, spec: &TargetSpec) -> Result<(), NoteError> {
        let service = &self.services[key.0 as usize];
        check_target(&service.name, spec)?;
        if service.targets.contains_key(&spec.name) {
            return Err(NoteError::TargetExists(
                service.name.clone(),
                spec.name.clone(),
            ));
        }
        let taken = self
            .targets
            .iter()
            .any(|t| t.service == key && !t.withdrawn && t.spec.endpoint.ip == spec.endpoint.ip);
        if taken {
            return Err(NoteError::EndpointTaken(
                service.name.clone(),
                spec.endpoint,
            ));
        }
        let target = TargetKey(self.targets.len() as u32);
        self.targets.push(Arc::new(Target {
            service: key,
            spec: spec.clone(),
            withdrawn: false,
            mark: Mark::Normal,
        }));
        let targets = &mut self.service_mut(key).targets;
        targets.insert(spec.name.clone(), target);
        Ok(())
    }

    fn live_target(&self, service: &str, name: &str) -> Result<TargetKey, NoteError> {
        let key = self.live_service(service)?;
        let targets = &self.service(key).targets;
        targets
            .get(name)
            .copied()
            .ok_or_else(|| NoteError::TargetUnknown(service.to_owned(), name.to_owned()))
    }

    fn change_target(&mut self, service: &str, spec: &TargetSpec) -> Result<ServiceKey, NoteError> {
        check_target(service, spec)?;
        let key = self.live_target(service, &spec.name)?;
        let target = Arc::make_mut(&mut self.targets[key.0 as usize]);
        if target.spec.endpoint != spec.endpoint || target.spec.zone != spec.zone {
            return Err(NoteError::TargetMoved(
                service.to_owned(),
                spec.name.clone(),
            ));
        }
        target.spec = spec.clone();
        Ok(target.service)
    }

    fn withdraw_target(&mut self, service: &str, name: &str) -> Result<ServiceKey, NoteError> {
        let key = self.live_target(service, name)?;
        let target = Arc::make_mut(&mut self.targets[key.0 as usize]);
        target.withdrawn = true;
        let service = target.service;
        self.service_mut(service).targets.shift_remove(name);
        Ok(service)
    }

    /// Adds the generation that a service has from a revision on.
    fn add_generation(
        &mut self,
        key: ServiceKey,
        revision: super::Revision,
    ) -> Result<(), NoteError> {
        let service = &self.services[key.0 as usize];
        if service.withdrawn.is_some() {
            return Ok(());
        }
        if service.targets.is_empty() {
            return Err(NoteError::WithoutTargets(service.name.clone()));
        }
        if service.targets.len() > placement::MAX_TARGETS {
            return Err(NoteError::TooManyTargets(
                service.name.clone(),
                service.targets.len(),
            ));
        }
        let mut named: Vec<(&String, TargetKey)> =
            service.targets.iter().map(|(n, &k)| (n, k)).collect();
        named.sort();
        let candidates: Vec<(TargetKey, u64, u16)> = named
            .iter()
            .map(|&(name, key)| (key, hash::name(name), self.target(key).spec.weight))
            .collect();
        let generation = placement::Generation {
            revision,
            superseded: None,
            targets: candidates.iter().map(|c| (c.0, c.2)).collect(),
            table: placement::build(service.seed, &candidates, self.options).into(),
        };
        self.service_mut(key).generations.push(generation);
        self.refresh_ambiguous(key);
        Ok(())
    }
}

fn check_target(service: &str, spec: &TargetSpec) -> Result<(), NoteError> {
    check_name(&spec.name)?;
    if spec.weight == 0 || spec.weight > MOST_WEIGHT {
        return Err(NoteError::WeightOutOfRange(spec.name.clone(), spec.weight));
    }
    if spec.connections == 0 || spec.slots == 0 {
        return Err(NoteError::LimitZero(service.to_owned(), spec.name.clone()));
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), NoteError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > LONGEST_NAME || !name.chars().all(allowed) {
        return Err(NoteError::NameInvalid(name.to_owned()));
    }
    Ok(())
}
