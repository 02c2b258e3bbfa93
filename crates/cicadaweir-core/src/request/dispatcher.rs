//! The dispatcher: assigns units to slots of targets.

use indexmap::IndexMap;

use crate::{
    catalog::TargetKey,
    error::ErrorKind,
    time::{Duration, Instant},
};

use super::{Outcome, Queue, SizeClass, Unit, UnitId, UnitUpdate};

/// Options of a [`Dispatcher`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The maximum number of queued units.
    pub max_queued: usize,
    /// The time for which the record of a unit is kept after the unit has ended,
    /// to detect duplicates.
    pub record_ttl: Duration,
    /// The number of slots of each target that are reserved for short units. At
    /// least one slot of a target remains available to long units.
    pub reserved_for_short: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_queued: 256,
            record_ttl: Duration::from_secs(60),
            reserved_for_short: 1,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slots {
    total: u16,
    short: u16,
    long: u16,
    accepts_units: bool,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    unit: Unit,
    target: TargetKey,
    ended: Option<Instant>,
}

/// Starts units in slots of targets, each at most once unless it is idempotent.
#[derive(Debug, Clone, Default)]
pub struct Dispatcher {
    options: Options,
    targets: IndexMap<TargetKey, Slots>,
    queue: Queue,
    records: IndexMap<UnitId, Record>,
}

impl Dispatcher {
    /// Creates a dispatcher without targets.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds a target, or changes the number of slots of a target.
    pub fn set_target(&mut self, target: TargetKey, slots: u16) {
        let entry = self.targets.entry(target).or_default();
        entry.total = slots;
        entry.accepts_units = true;
    }

    /// Starts no new units on a target; its running units continue.
    pub fn drain_target(&mut self, target: TargetKey) {
        if let Some(slots) = self.targets.get_mut(&target) {
            slots.accepts_units = false;
        }
    }

    /// Returns the number of queued units.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Submits a unit: starts, queues or refuses it, or detects that it is a
    /// duplicate.
    pub fn submit(&mut self, now: Instant, unit: Unit) -> Outcome {
        if let Some(record) = self.records.get(&unit.id) {
            return Outcome::Duplicate(record.target);
        }
        if self.queue.contains(unit.id) {
            return Outcome::Queued;
        }
        if now >= unit.deadline {
            return Outcome::Refused(ErrorKind::LookupTimeout);
        }
        if !self.targets.values().any(|s| s.accepts_units) {
            return Outcome::Refused(ErrorKind::NoTarget);
        }
        if self.queue.is_empty() {
            if let Some(target) = self.free_target(unit.size) {
                self.start(unit, target);
                return Outcome::Started(target);
            }
        }
        if self.queue.len() >= self.options.max_queued {
            return Outcome::Refused(ErrorKind::Overloaded);
        }
        self.queue.push(unit);
        Outcome::Queued
    }

    /// Returns the target with the most free slots for a size class, or `None` if
    /// no target has a free slot.
    fn free_target(&self, size: SizeClass) -> Option<TargetKey> {
        let free = |s: &Slots| -> u16 {
            let used = s.short + s.long;
            let reserved = match size {
                SizeClass::Short => 0,
                SizeClass::Long => self
                    .options
                    .reserved_for_short
                    .min(s.total.saturating_sub(1)),
            };
            let unused = s.total.saturating_sub(used);
            let long_unused = (s.total - reserved.min(s.total)).saturating_sub(s.long);
            match size {
                SizeClass::Short => unused,
                SizeClass::Long => unused.min(long_unused),
            }
        };
        self.targets
            .iter()
            .filter(|(_, s)| s.accepts_units && free(s) > 0)
            .max_by_key(|(key, s)| (free(s), std::cmp::Reverse(**key)))
            .map(|(&key, _)| key)
    }

    fn start(&mut self, unit: Unit, target: TargetKey) {
        let slots = &mut self.targets[&target];
        match unit.size {
            SizeClass::Short => slots.short += 1,
            SizeClass::Long => slots.long += 1,
        }
        let record = Record {
            unit,
            target,
            ended: None,
        };
        self.records.insert(unit.id, record);
    }

    /// Records the completion of a unit and starts queued units in the free slot.
    /// Returns the target that ran the unit, or `None` if the unit is not running.
    ///
    /// Appends the updates of other units to `out`.
    pub fn complete(
        &mut self,
        now: Instant,
        id: UnitId,
        out: &mut Vec<UnitUpdate>,
    ) -> Option<TargetKey> {
        let record = self.records.get_mut(&id).filter(|r| r.ended.is_none())?;
        record.ended = Some(now);
        let (target, size) = (record.target, record.unit.size);
        self.release_slot(target, size);
        self.start_queued(now, out);
        Some(target)
    }

    fn release_slot(&mut self, target: TargetKey, size: SizeClass) {
        if let Some(slots) = self.targets.get_mut(&target) {
            match size {
                SizeClass::Short => slots.short = slots.short.saturating_sub(1),
                SizeClass::Long => slots.long = slots.long.saturating_sub(1),
            }
        }
    }

    /// Starts queued units while slots are free, after refusing those whose
    /// deadline has passed.
    fn start_queued(&mut self, now: Instant, out: &mut Vec<UnitUpdate>) {
        self.expire(now, out);
        while let Some(unit) = self.queue.pop() {
            let Some(target) = self.free_target(unit.size) else {
                self.queue.push(unit);
                return;
            };
            self.start(unit, target);
            out.push(UnitUpdate::Started(unit.id, target));
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<UnitUpdate>) {
        let mut expired = Vec::new();
        self.queue.expire(now, &mut expired);
        let refused = |id| UnitUpdate::Refused(id, ErrorKind::Overloaded);
        out.extend(expired.into_iter().map(refused));
    }

    /// Cancels a unit that is queued or running.
    pub fn cancel(&mut self, now: Instant, id: UnitId, out: &mut Vec<UnitUpdate>) {
        if self.queue.cancel(id) {
            return;
        }
        let Some(record) = self.records.get_mut(&id).filter(|r| r.ended.is_none()) else {
            return;
        };
        record.ended = Some(now);
        let (target, size) = (record.target, record.unit.size);
        out.push(UnitUpdate::Cancelled(id, target));
        self.release_slot(target, size);
        self.start_queued(now, out);
    }

    /// Removes a target that has failed. Its idempotent units are queued again
    /// unless their deadline has passed; the result of its other units is unknown.
    pub fn remove_failed_target(
        &mut self,
        now: Instant,
        target: TargetKey,
        out: &mut Vec<UnitUpdate>,
    ) {
        self.targets.swap_remove(&target);
        let running: Vec<Unit> = self
            .records
            .values()
            .filter(|r| r.target == target && r.ended.is_none())
            .map(|r| r.unit)
            .collect();
        for unit in running {
            if unit.idempotent && now < unit.deadline {
                self.records.swap_remove(&unit.id);
                self.queue.push(unit);
            } else {
                self.records[&unit.id].ended = Some(now);
                out.push(UnitUpdate::Unknown(unit.id));
            }
        }
        self.start_queued(now, out);
    }

    /// Refuses queued units whose deadline has passed, starts units in free slots
    /// and removes expired records.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<UnitUpdate>) {
        self.start_queued(now, out);
        let record_ttl = self.options.record_ttl;
        self.records
            .retain(|_, r| r.ended.is_none_or(|at| now.since(at) < record_ttl));
    }
}
