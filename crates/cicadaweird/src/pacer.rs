//! The paced way out towards callers.

use std::time::{Duration, Instant};

use cicadaweir_core::{
    pace::{FairQueue, Item, Options},
    packet::PacketRef,
};

/// How much of the rate may be saved up, as time.
const BURST: Duration = Duration::from_millis(20);

/// Answers that wait for their turn, and the bytes that may leave.
#[derive(Debug)]
pub struct Pacer {
    queue: FairQueue,
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Pacer {
    /// Makes a pacer for bytes a second; `None` if there is no limit.
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

    /// Queues a kept packet; returns one to forget if the queue is full.
    pub fn push(&mut self, flow: u64, packet: PacketRef, bytes: usize) -> Option<PacketRef> {
        let item = Item {
            flow,
            packet,
            bytes: bytes as u32,
        };
        self.queue.push(item).map(|dropped| dropped.packet)
    }

    /// Takes the next packet that may leave now.
    pub fn pop(&mut self, now: Instant) -> Option<PacketRef> {
        let gained = self.rate * now.duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.rate * BURST.as_secs_f64());
        self.refilled = now;
        if self.tokens <= 0.0 {
            return None;
        }
        let item = self.queue.pop()?;
        self.tokens -= f64::from(item.bytes);
        Some(item.packet)
    }
}
