//! Deficit round robin with priority for new flows.
//!
//! A flow enters the list of new flows when it becomes active and moves to the
//! list of old flows once it has used up its first quantum. New flows have
//! priority over old ones (Hoeiland-Joergensen et al. 2018, FlowQueue-CoDel,
//! without its dropping). Each old flow gets one quantum per round (Shreedhar and
//! Varghese 1996). To prevent starvation, an old flow is served after
//! [`Options::max_consecutive_new`] packets of new flows.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::Item;

/// Options of a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of bytes that a flow may send per round.
    pub quantum: u32,
    /// The maximum number of queued packets of all flows together.
    pub max_items: usize,
    /// The number of consecutive packets of new flows after which an old flow is
    /// served.
    pub max_consecutive_new: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            quantum: 3_000,
            max_items: 4_096,
            max_consecutive_new: 16,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct FlowQueue {
    items: VecDeque<Item>,
    deficit: i64,
}

/// A queue that divides bandwidth evenly among flows, with priority for short
/// ones.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    options: Options,
    flows: IndexMap<u64, FlowQueue>,
    new: VecDeque<u64>,
    old: VecDeque<u64>,
    len: usize,
    consecutive_new: u32,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of queued packets.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a packet. If the queue is full, the oldest packet of the flow with
    /// the most queued packets is removed and returned, to be dropped.
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

    /// Removes and returns the next packet to send.
    pub fn pop(&mut self) -> Option<Item> {
        while !(self.new.is_empty() && self.old.is_empty()) {
            let from_new = self.serves_new_flow();
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

    /// Returns whether the next flow to serve is a new one.
    fn serves_new_flow(&self) -> bool {
        let old_is_due =
            self.consecutive_new >= self.options.max_consecutive_new && !self.old.is_empty();
        !self.new.is_empty() && !old_is_due
    }

    /// Serves a flow, which has been removed from its list. Returns its next
    /// packet, or `None` if the flow is empty or has used up its quantum.
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
            self.consecutive_new += 1;
            self.new.push_front(key);
        } else {
            self.consecutive_new = 0;
            self.old.push_front(key);
        }
        Some(item)
    }
}
