//! Deficit round robin, flows with little queued first.
//!
//! A flow that becomes busy enters the list of new flows and leaves it once it
//! has spent its first quantum; new flows go before old ones (Hoeiland-
//! Joergensen et al. 2018, FlowQueue-CoDel, without its dropping). An old flow
//! gets a quantum a round (Shreedhar and Varghese 1996), so that none starves:
//! after [`Options::new_in_a_row`] packets of new flows an old one has a turn.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::Item;

/// How a [`FairQueue`] divides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The bytes that a flow may send in one round.
    pub quantum: u32,
    /// The most packets that wait, over all flows.
    pub max_items: usize,
    /// Packets of new flows in a row, after which an old flow has a turn.
    pub new_in_a_row: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            quantum: 3_000,
            max_items: 4_096,
            new_in_a_row: 16,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct FlowQueue {
    items: VecDeque<Item>,
    deficit: i64,
}

/// A queue that is fair between flows and quick for short ones.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    options: Options,
    flows: IndexMap<u64, FlowQueue>,
    new: VecDeque<u64>,
    old: VecDeque<u64>,
    len: usize,
    new_in_a_row: u32,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of packets that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a packet. If the queue is full, the packet that has waited
    /// longest in the longest flow is returned, to be forgotten.
    pub fn push(&mut self, item: Item) -> Option<Item> {
        let quantum = i64::from(self.options.quantum);
        let new = &mut self.new;
        let flow = self.flows.entry(item.flow).or_insert_with(|| {
            new.push_back(item.flow);
            FlowQueue {
                items: VecDeque::new(),
                deficit: quantum,
            }
        });
        flow.items.push_back(item);
        self.len += 1;
        if self.len <= self.options.max_items {
            return None;
        }
        let longest = self.flows.values_mut().max_by_key(|f| f.items.len())?;
        self.len -= 1;
        longest.items.pop_front()
    }

    /// Takes the next packet.
    pub fn pop(&mut self) -> Option<Item> {
        while !(self.new.is_empty() && self.old.is_empty()) {
            let from_new = self.turn_is_new();
            let list = if from_new {
                &mut self.new
            } else {
                &mut self.old
            };
            let key = list.pop_front()?;
            if let Some(item) = self.serve(key, from_new) {
                return Some(item);
            }
        }
        None
    }

    fn turn_is_new(&self) -> bool {
        let overdue = self.new_in_a_row >= self.options.new_in_a_row && !self.old.is_empty();
        !self.new.is_empty() && !overdue
    }

    /// Gives one flow its turn.
    fn serve(&mut self, key: u64, from_new: bool) -> Option<Item> {
        let quantum = i64::from(self.options.quantum);
        let flow = self.flows.get_mut(&key)?;
        if flow.items.is_empty() {
            self.flows.swap_remove(&key);
            return None;
        }
        if flow.deficit <= 0 {
            flow.deficit += quantum;
            self.old.push_back(key);
            return None;
        }
        let item = flow.items.pop_front()?;
        flow.deficit -= i64::from(item.bytes);
        self.len -= 1;
        if from_new {
            self.new_in_a_row += 1;
            self.new.push_front(key);
        } else {
            self.new_in_a_row = 0;
            self.old.push_front(key);
        }
        Some(item)
    }
}
