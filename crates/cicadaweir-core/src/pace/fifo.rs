//! First in, first out.

use std::collections::VecDeque;

use super::Item;

/// A queue without any fairness; the baseline.
#[derive(Debug, Clone, Default)]
pub struct FifoQueue {
    items: VecDeque<Item>,
}

impl FifoQueue {
    /// Queues a packet.
    pub fn push(&mut self, item: Item) {
        self.items.push_back(item);
    }

    /// Takes the next packet.
    pub fn pop(&mut self) -> Option<Item> {
        self.items.pop_front()
    }
}
