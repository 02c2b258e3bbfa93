//! The short queue: short work first, nothing past its deadline.

use std::collections::VecDeque;

use crate::time::Instant;

use super::{SizeClass, Unit, UnitId};

/// Short units in a row, after which a long one has a turn.
const SHORT_IN_A_ROW: u32 = 8;

/// Units that wait for a slot.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    short: VecDeque<Unit>,
    long: VecDeque<Unit>,
    short_in_a_row: u32,
}

impl Queue {
    /// Returns the number of units that wait.
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a unit waits.
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

    /// Takes the next unit.
    pub fn pop(&mut self) -> Option<Unit> {
        let overdue = self.short_in_a_row >= SHORT_IN_A_ROW && !self.long.is_empty();
        if !self.short.is_empty() && !overdue {
            self.short_in_a_row += 1;
            return self.short.pop_front();
        }
        self.short_in_a_row = 0;
        self.long.pop_front()
    }

    /// Takes out a unit that is no longer wanted.
    pub fn cancel(&mut self, id: UnitId) -> bool {
        let before = self.len();
        self.short.retain(|u| u.id != id);
        self.long.retain(|u| u.id != id);
        self.len() != before
    }

    /// Takes out the units whose deadline has passed.
    pub fn expire(&mut self, now: Instant, expired: &mut Vec<UnitId>) {
        for queue in [&mut self.short, &mut self.long] {
            queue.retain(|unit| {
                let wanted = now < unit.deadline;
                if !wanted {
                    expired.push(unit.id);
                }
                wanted
            });
        }
    }
}
