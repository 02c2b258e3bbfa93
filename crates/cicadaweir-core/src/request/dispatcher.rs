//! From a unit to a slot.

use indexmap::IndexMap;

use crate::{
    catalog::TargetKey,
    error::ErrorKind,
    time::{Duration, Instant},
};

use super::{Outcome, Queue, Settled, SizeClass, Unit, UnitId};

/// The bounds of a [`Dispatcher`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The most units that wait.
    pub most_queued: usize,
    /// How long a unit's identity is remembered after its end.
    pub remembered: Duration,
    /// Slots of a target that long units may not take.
    pub kept_for_short: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            most_queued: 256,
            remembered: Duration::from_secs(60),
            kept_for_short: 1,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slots {
    total: u16,
    short: u16,
    long: u16,
    takes_work: bool,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    unit: Unit,
    target: TargetKey,
    ended: Option<Instant>,
}

/// Gives units to slots, each at most once unless it is idempotent.
#[derive(Debug, Clone, Default)]
pub struct Dispatcher {
    options: Options,
    targets: IndexMap<TargetKey, Slots>,
    queue: Queue,
    records: IndexMap<UnitId, Record>,
}

impl Dispatcher {
    /// Makes a dispatcher without targets.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds a target, or changes how many slots it has.
    pub fn set_target(&mut self, target: TargetKey, slots: u16) {
        let entry = self.targets.entry(target).or_default();
        entry.total = slots;
        entry.takes_work = true;
    }

    /// Lets a target finish what it has and gives it nothing new.
    pub fn withdraw(&mut self, target: TargetKey) {
        if let Some(slots) = self.targets.get_mut(&target) {
            slots.takes_work = false;
        }
    }

    /// Returns the number of units that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes a unit.
    pub fn submit(&mut self, now: Instant, unit: Unit) -> Outcome {
        if let Some(record) = self.records.get(&unit.id) {
            return Outcome::Repeated(record.target);
        }
        if self.queue.contains(unit.id) {
            return Outcome::Queued;
        }
        if now >= unit.deadline {
            return Outcome::Refused(ErrorKind::LookupTimeout);
        }
        if !self.targets.values().any(|s| s.takes_work) {
            return Outcome::Refused(ErrorKind::NoTarget);
        }
        if self.queue.is_empty() {
            if let Some(target) = self.free_target(unit.size) {
                self.start(unit, target);
                return Outcome::Started(target);
            }
        }
        if self.queue.len() >= self.options.most_queued {
            return Outcome::Refused(ErrorKind::Overloaded);
        }
        self.queue.push(unit);
        Outcome::Queued
    }

    /// Returns the target with the most free slots for a size class.
    fn free_target(&self, size: SizeClass) -> Option<TargetKey> {
        let free = |s: &Slots| -> u16 {
            let used = s.short + s.long;
            let kept = match size {
                SizeClass::Short => 0,
                SizeClass::Long => self.options.kept_for_short.min(s.total.saturating_sub(1)),
            };
            let room = s.total.saturating_sub(used);
            let long_room = (s.total - kept.min(s.total)).saturating_sub(s.long);
            match size {
                SizeClass::Short => room,
                SizeClass::Long => room.min(long_room),
            }
        };
        self.targets
            .iter()
            .filter(|(_, s)| s.takes_work && free(s) > 0)
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

    /// Matches an answer with its unit; returns the target that ran it, or
    /// `None` if nobody waits for it.
    pub fn answered(
        &mut self,
        now: Instant,
        id: UnitId,
        out: &mut Vec<Settled>,
    ) -> Option<TargetKey> {
        let record = self.records.get_mut(&id).filter(|r| r.ended.is_none())?;
        record.ended = Some(now);
        let (target, size) = (record.target, record.unit.size);
        self.free(target, size);
        self.fill(now, out);
        Some(target)
    }

    fn free(&mut self, target: TargetKey, size: SizeClass) {
        if let Some(slots) = self.targets.get_mut(&target) {
            match size {
                SizeClass::Short => slots.short = slots.short.saturating_sub(1),
                SizeClass::Long => slots.long = slots.long.saturating_sub(1),
            }
        }
    }

    /// Starts what can be started.
    fn fill(&mut self, now: Instant, out: &mut Vec<Settled>) {
        self.expire(now, out);
        while let Some(unit) = self.queue.pop() {
            let Some(target) = self.free_target(unit.size) else {
                self.queue.push(unit);
                return;
            };
            self.start(unit, target);
            out.push(Settled::Started(unit.id, target));
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Settled>) {
        let mut expired = Vec::new();
        self.queue.expire(now, &mut expired);
        let refused = |id| Settled::Refused(id, ErrorKind::Overloaded);
        out.extend(expired.into_iter().map(refused));
    }

    /// Cancels a unit: out of the queue, or at its target.
    pub fn cancel(&mut self, now: Instant, id: UnitId, out: &mut Vec<Settled>) {
        if self.queue.cancel(id) {
            return;
        }
        let Some(record) = self.records.get_mut(&id).filter(|r| r.ended.is_none()) else {
            return;
        };
        record.ended = Some(now);
        let (target, size) = (record.target, record.unit.size);
        out.push(Settled::Cancelled(id, target));
        self.free(target, size);
        self.fill(now, out);
    }

    /// Takes a target away that is lost: idempotent units run elsewhere, the
    /// fate of the others is not known.
    pub fn lose(&mut self, now: Instant, target: TargetKey, out: &mut Vec<Settled>) {
        self.targets.swap_remove(&target);
        let lost: Vec<Unit> = self
            .records
            .values()
            .filter(|r| r.target == target && r.ended.is_none())
            .map(|r| r.unit)
            .collect();
        for unit in lost {
            if unit.idempotent && now < unit.deadline {
                self.records.swap_remove(&unit.id);
                self.queue.push(unit);
            } else {
                self.records[&unit.id].ended = Some(now);
                out.push(Settled::Unknown(unit.id));
            }
        }
        self.fill(now, out);
    }

    /// Lets time pass: refuses what waited too long, forgets old identities.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Settled>) {
        self.fill(now, out);
        let remembered = self.options.remembered;
        self.records
            .retain(|_, r| r.ended.is_none_or(|at| now.since(at) < remembered));
    }
}
