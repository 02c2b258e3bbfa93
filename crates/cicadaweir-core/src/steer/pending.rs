//! The queue of packets that can't be decided yet.
//!
//! Load pattern: all entry VMs restart at once while callers keep sending.
//! Without the queue, a packet that arrives before the store was read would be
//! lost, and its caller would retransmit it only after 200 ms; a burst of
//! openings to few targets would overflow their queues.

use std::collections::VecDeque;

use crate::{
    packet::{PacketKind, PacketRef},
    time::{Duration, Instant},
};

use super::Segment;

/// A packet without a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingPacket {
    /// The driver's handle of the packet.
    pub packet: PacketRef,
    /// The packet's headers.
    pub segment: Segment,
    /// When it arrived.
    pub since: Instant,
}

/// Packets without a decision, in order of arrival.
#[derive(Debug, Default)]
pub struct PendingPackets {
    packets: VecDeque<PendingPacket>,
}

impl PendingPackets {
    /// Returns whether an earlier copy of a packet is pending, so that this one
    /// can be dropped.
    pub fn has_duplicate_of(&self, segment: &Segment) -> bool {
        self.packets.iter().any(|pending| {
            let known = &pending.segment;
            known.flow == segment.flow
                && known.kind == segment.kind
                && (known.kind == PacketKind::Opening || known.sequence == segment.sequence)
        })
    }

    /// Adds a packet.
    pub fn push(&mut self, packet: PendingPacket) {
        self.packets.push_back(packet);
    }

    /// Removes the latest packet: its caller is the least likely to have timed
    /// out.
    pub fn pop_newest(&mut self) -> Option<PendingPacket> {
        self.packets.pop_back()
    }

    /// Returns the latest packet.
    pub fn newest(&self) -> Option<&PendingPacket> {
        self.packets.back()
    }

    /// Removes the oldest packet if it has been pending for `timeout`.
    pub fn pop_expired(&mut self, now: Instant, timeout: Duration) -> Option<PendingPacket> {
        let oldest = self.packets.front()?;
        (now.since(oldest.since) >= timeout).then(|| self.packets.pop_front())?
    }

    /// Returns the number of pending packets.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Returns whether no packet is pending.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
