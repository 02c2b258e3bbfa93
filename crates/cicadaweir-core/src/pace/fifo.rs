//! First-in, first-out queue.

use std::collections::VecDeque;

use super::Item;

/// A first-in, first-out queue without fairness among flows; the baseline.
#[derive(Debug, Clone, Default)]
pub struct FifoQueue {
    items: VecDeque<Item>,
}

impl FifoQueue {
    /// Queues a packet.
    pub fn push(&mut self, item: Item) {
        self.items.push_back(item);
    }

    /// Removes and returns the oldest packet.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }
}
