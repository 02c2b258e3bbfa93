//! A byte quota on long flows (KIP-73's exclusion under quota).
//!
//! A flow counts as long once it has sent [`QuotaOptions::long_after`] bytes.
//! Long flows together may send the quota a second; what would exceed it is
//! left out of the round, as KIP-73 leaves throttled partitions out of a fetch,
//! while short flows go on in order of arrival.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::time::Instant;

use super::Item;

/// How a [`QuotaQueue`] divides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaOptions {
    /// Bytes after which a flow counts as long.
    pub long_after: u64,
    /// Bytes a second for all long flows together.
    pub quota: u64,
}

/// A queue with a quota on long flows.
#[derive(Debug, Clone)]
pub struct QuotaQueue {
    options: QuotaOptions,
    short: VecDeque<Item>,
    long: VecDeque<Item>,
    sent: IndexMap<u64, u64>,
    tokens: f64,
    refilled: Instant,
}

impl QuotaQueue {
    /// Makes an empty queue.
    pub fn new(options: QuotaOptions) -> Self {
        Self {
            options,
            short: VecDeque::new(),
            long: VecDeque::new(),
            sent: IndexMap::new(),
            tokens: 0.0,
            refilled: Instant::START,
        }
    }

    /// Queues a packet.
    pub fn push(&mut self, item: Item) {
        let sent = self.sent.entry(item.flow).or_default();
        *sent += u64::from(item.bytes);
        if *sent > self.options.long_after {
            self.long.push_back(item);
        } else {
            self.short.push_back(item);
        }
    }

    /// Takes the next packet.
    pub fn pop(&mut self, now: Instant) -> Option<Item> {
        let quota = self.options.quota as f64;
        let gained = quota * now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + gained).min(quota / 10.0);
        self.refilled = now;
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
