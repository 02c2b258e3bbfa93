//! A byte quota for long flows, after KIP-73.
//!
//! A flow counts as long once more than [`QuotaOptions::long_after`] bytes of it
//! have been queued. All long flows together may send at most
//! [`QuotaOptions::quota`] bytes per second. While the quota is exhausted, they
//! are skipped, as KIP-73 leaves throttled partitions out of a fetch; short flows
//! are sent in order of arrival.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::time::Instant;

use super::Item;

/// Options of a [`QuotaQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaOptions {
    /// The number of bytes after which a flow counts as long.
    pub long_after: u64,
    /// The byte rate of all long flows together, in bytes per second.
    pub quota: u64,
}

/// A first-in, first-out queue with a byte quota for long flows.
#[derive(Debug, Clone)]
pub struct QuotaQueue {
    options: QuotaOptions,
    short: VecDeque<Item>,
    long: VecDeque<Item>,
    queued_bytes: IndexMap<u64, u64>,
    tokens: f64,
    last_refill: Instant,
}

impl QuotaQueue {
    /// Creates an empty queue.
    pub fn new(options: QuotaOptions) -> Self {
        Self {
            options,
            short: VecDeque::new(),
            long: VecDeque::new(),
            queued_bytes: IndexMap::new(),
            tokens: 0.0,
            last_refill: Instant::START,
        }
    }

    /// Queues a packet.
    pub fn push(&mut self, item: Item) {
        let queued_bytes = self.queued_bytes.entry(item.flow).or_default();
        *queued_bytes += u64::from(item.bytes);
        if *queued_bytes > self.options.long_after {
            self.long.push_back(item);
        } else {
            self.short.push_back(item);
        }
    }

    /// Removes and returns the next packet to send, or `None` if the queue is
    /// empty or only long flows are queued and their quota is exhausted.
    pub fn pop(&mut self, now: Instant) -> Option<Item> {
        let quota = self.options.quota as f64;
        let new_tokens = quota * now.since(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + new_tokens).min(quota / 10.0);
        self.last_refill = now;
        if let Some(item) = self.short.pop_front() {
            return Some(item);
        }
        let next = self.long.front()?;
        if self.tokens < f64::from(next.bytes) {
            return None;
        }
        self.tokens -= f64::from(next.bytes);
        self.long.pop_front()
    }
}
