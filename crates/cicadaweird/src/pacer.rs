//! Rate limiting of answers towards callers.

use std::time::{Duration, Instant};

use cicadaweir_core::{
    pace::{FairQueue, Item, Options},
    packet::PacketRef,
};

/// The longest time for which unused rate accumulates.
const BURST: Duration = Duration::from_millis(20);

/// A token bucket with a fair queue of the answers that wait to be sent.
#[derive(Debug)]
pub struct Pacer {
    queue: FairQueue,
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Pacer {
    /// Creates a pacer for `rate` bytes per second and at most `max_items` queued
    /// packets; returns `None` if `rate` is 0, which means no limit.
    pub fn new(rate: u64, max_items: usize, now: Instant) -> Option<Self> {
        (rate > 0).then(|| Self {
            queue: FairQueue::new(Options {
                max_items,
                ..Options::default()
            }),
            rate: rate as f64,
            tokens: 0.0,
            refilled: now,
        })
    }

    /// Queues a stored packet. If the queue is full, returns a packet that was
    /// dropped and has to be released.
    pub fn push(&mut self, flow: u64, packet: PacketRef, bytes: usize) -> Option<PacketRef> {
        let item = Item {
            flow,
            packet,
            bytes: bytes as u32,
        };
        self.queue.push(item).map(|dropped| dropped.packet)
    }

    /// Removes and returns the next packet if the rate allows one to be sent
    /// now. The bucket may go below zero by one packet.
    pub fn pop(&mut self, now: Instant) -> Option<PacketRef> {
        let refill = self.rate * now.duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.rate * BURST.as_secs_f64());
        self.refilled = now;
        if self.tokens <= 0.0 {
            return None;
        }
        let item = self.queue.pop()?;
        self.tokens -= f64::from(item.bytes);
        Some(item.packet)
    }
}
