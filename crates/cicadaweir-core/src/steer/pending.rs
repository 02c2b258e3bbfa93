//! Packets that can't be decided yet.
//!
//! Load pattern: all entry VMs restart at once while callers go on sending.
//! A packet that comes before the store was read would otherwise be lost, and
//! its caller would repeat it only after 200 ms; a burst of openings on few
//! targets would otherwise overflow their queues.

use std::collections::VecDeque;

use crate::{
    packet::{PacketKind, PacketRef},
    time::{Duration, Instant},
};

use super::Segment;

/// A packet that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingPacket {
    /// The driver's handle of the packet.
    pub packet: PacketRef,
    /// What the packet says.
    pub segment: Segment,
    /// When it came.
    pub since: Instant,
}

/// Packets that wait, in the order in which they came.
#[derive(Debug, Default)]
pub struct PendingPackets {
    waiters: VecDeque<PendingPacket>,
}

impl PendingPackets {
    /// Returns whether an earlier copy of a packet waits, so that this one is
    /// not needed.
    pub fn has_copy_of(&self, segment: &Segment) -> bool {
        self.waiters.iter().any(|waiter| {
            let known = &waiter.segment;
            known.flow == segment.flow
                && known.kind == segment.kind
                && (known.kind == PacketKind::Opening || known.sequence == segment.sequence)
        })
    }

    /// Adds a packet.
    pub fn push(&mut self, waiter: PendingPacket) {
        self.waiters.push_back(waiter);
    }

    /// Takes the packet that came last: it is the likeliest to be served in
    /// time.
    pub fn pop_newest(&mut self) -> Option<PendingPacket> {
        self.waiters.pop_back()
    }

    /// Returns the packet that came last.
    pub fn newest(&self) -> Option<&PendingPacket> {
        self.waiters.back()
    }

    /// Takes the packet that came first, if it has waited for `patience`.
    pub fn pop_expired(&mut self, now: Instant, patience: Duration) -> Option<PendingPacket> {
        let oldest = self.waiters.front()?;
        (now.since(oldest.since) >= patience).then(|| self.waiters.pop_front())?
    }

    /// Returns how many packets wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no packet waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
