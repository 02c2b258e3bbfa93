//! The queue of units that wait for a slot; short units have priority.

use std::collections::VecDeque;

use crate::time::Instant;

use super::{SizeClass, Unit, UnitId};

/// The number of consecutive short units after which a long unit is served.
const MAX_CONSECUTIVE_SHORT: u32 = 8;

/// The queue of units that wait for a slot.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    short: VecDeque<Unit>,
    long: VecDeque<Unit>,
    consecutive_short: u32,
}

impl Queue {
    /// Returns the number of queued units.
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a unit is queued.
    pub fn contains(&self, id: UnitId) -> bool {
        self.short.iter().chain(&self.long).any(|u| u.id == id)
    }

    /// Queues a unit.
    pub fn push(&mut self, unit: Unit) {
        match unit.size {
            SizeClass::Short => self.short.push_back(unit),
            SizeClass::Long => self.long.push_back(unit),
        }
    }

    /// Removes and returns the next unit.
    pub fn pop(&mut self) -> Option<Unit> {
        let long_is_due = self.consecutive_short >= MAX_CONSECUTIVE_SHORT && !self.long.is_empty();
        if !self.short.is_empty() && !long_is_due {
            self.consecutive_short += 1;
            return self.short.pop_front();
        }
        self.consecutive_short = 0;
        self.long.pop_front()
    }

    /// Removes a cancelled unit; returns whether it was queued.
    pub fn cancel(&mut self, id: UnitId) -> bool {
        let before = self.len();
        self.short.retain(|u| u.id != id);
        self.long.retain(|u| u.id != id);
        self.len() != before
    }

    /// Removes the units whose deadline has passed and appends their identifiers
    /// to `expired`.
    pub fn expire(&mut self, now: Instant, expired: &mut Vec<UnitId>) {
        for queue in [&mut self.short, &mut self.long] {
            queue.retain(|unit| {
                let in_time = now < unit.deadline;
                if !in_time {
                    expired.push(unit.id);
                }
                in_time
            });
        }
    }
}
