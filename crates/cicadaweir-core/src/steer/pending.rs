//! The queue of packets that can't be decided yet.
//!
//! Load patterns: all entry VMs restart at once while callers keep sending, and a
//! packet that arrives before the store was read would be lost, so that its caller
//! would retransmit it only after 200 ms; or more openings arrive than the targets
//! answer in time, and those of a high priority go first.

use std::cmp::Reverse;

use crate::{
    catalog::ServiceKey,
    packet::{PacketKind, PacketRef},
    time::{Duration, Instant},
};

use super::Segment;

/// Of this many openings that leave the queue, one is the latest whatever its
/// priority, so that no priority starves.
const ANY_PRIORITY_EVERY: u32 = 4;

/// What an opening waits for, once its route is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpeningClass {
    /// The service that was selected.
    pub service: ServiceKey,
    /// The route's priority; 0 is the highest.
    pub priority: u8,
    /// When the opening is refused if it has not been placed.
    pub deadline: Instant,
}

/// What is to be done with a packet that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fate {
    /// It is decided again.
    #[default]
    Decide,
    /// It is an opening that is refused.
    Refuse,
}

/// A packet without a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingPacket {
    /// The driver's handle of the packet.
    pub packet: PacketRef,
    /// The packet's headers.
    pub segment: Segment,
    /// When it arrived.
    pub since: Instant,
    /// The number of the latest copy that has arrived of an opening, and when it did.
    pub latest_copy: (u32, Instant),
    /// What it waits for; absent if it isn't an opening, or while its route is
    /// unknown.
    pub class: Option<OpeningClass>,
    /// What is to be done when it leaves the queue.
    pub fate: Fate,
}

/// Packets without a decision, in order of arrival.
#[derive(Debug, Default)]
pub struct PendingPackets {
    packets: Vec<PendingPacket>,
    /// Counts the openings that left the queue by their priority.
    taken: u32,
    /// Counts the openings that [`PendingPackets::trim`] refused.
    trimmed: u32,
}

impl PendingPackets {
    /// Returns whether an earlier copy of a packet is pending, so that this one can be
    /// dropped. The earlier one then stands for this one.
    pub fn absorbs(&mut self, now: Instant, segment: &Segment) -> bool {
        let earlier = self.packets.iter_mut().find(|pending| {
            let known = &pending.segment;
            known.flow == segment.flow
                && known.kind == segment.kind
                && (known.kind == PacketKind::Opening || known.sequence == segment.sequence)
        });
        let absorbs = earlier.is_some();
        if let Some(earlier) = earlier {
            earlier.latest_copy = (segment.copy, now);
        }
        absorbs
    }

    /// Adds a packet.
    pub fn push(&mut self, packet: PendingPacket) {
        self.packets.push(packet);
    }

    /// Sets what openings wait for that have no class yet.
    pub fn classify(&mut self, mut classify: impl FnMut(&PendingPacket) -> Option<OpeningClass>) {
        for pending in &mut self.packets {
            if pending.class.is_none() && pending.segment.kind == PacketKind::Opening {
                pending.class = classify(pending);
            }
        }
    }

    /// Returns whether openings of a service wait.
    pub fn has_openings(&self, service: ServiceKey) -> bool {
        let mut classes = self.packets.iter().filter_map(|pending| pending.class);
        classes.any(|class| class.service == service)
    }

    /// Refuses the oldest opening of the lowest priority that waits for a service for
    /// the first time, now and then of any priority, if more than `max` wait.
    pub fn trim(&mut self, service: ServiceKey, max: usize) {
        let waits = |pending: &PendingPacket| {
            pending.segment.copy == 0
                && pending.fate == Fate::Decide
                && pending.class.is_some_and(|class| class.service == service)
        };
        if self.packets.iter().filter(|pending| waits(pending)).count() <= max {
            return;
        }
        let is_any = self.trimmed % ANY_PRIORITY_EVERY == ANY_PRIORITY_EVERY - 1;
        self.trimmed = self.trimmed.wrapping_add(1);
        let waiting = self.packets.iter_mut().enumerate();
        let waiting = waiting.filter(|(_, pending)| waits(pending));
        let victim = waiting.max_by_key(|(at, pending)| {
            let priority = pending.class.map_or(0, |class| class.priority);
            (if is_any { 0 } else { priority }, Reverse(*at))
        });
        if let Some((_, pending)) = victim {
            pending.fate = Fate::Refuse;
        }
    }

    /// Removes the oldest packet that needn't wait: one that isn't an opening, or an
    /// opening that is refused or without a route.
    pub fn pop_decidable(&mut self) -> Option<PendingPacket> {
        let mut packets = self.packets.iter();
        let at =
            packets.position(|pending| pending.class.is_none() || pending.fate != Fate::Decide)?;
        Some(self.packets.remove(at))
    }

    /// Removes the opening that goes next among those of services for which
    /// `has_capacity` holds: those that wait for the first time before copies, the
    /// highest priority first, but now and then of any; the latest first, as its caller
    /// is the least likely to have timed out.
    pub fn pop_next(
        &mut self,
        mut has_capacity: impl FnMut(ServiceKey) -> bool,
    ) -> Option<PendingPacket> {
        let mut checked: Option<(ServiceKey, bool)> = None;
        let mut is_open = |service| match checked {
            Some((known, open)) if known == service => open,
            _ => {
                let open = has_capacity(service);
                checked = Some((service, open));
                open
            }
        };
        let is_any = self.taken % ANY_PRIORITY_EVERY == ANY_PRIORITY_EVERY - 1;
        let open = self.packets.iter().enumerate().filter_map(|(at, pending)| {
            let class = pending.class.filter(|class| is_open(class.service))?;
            let priority = if is_any { 0 } else { class.priority };
            Some((pending.segment.copy > 0, priority, Reverse(at)))
        });
        let (.., Reverse(at)) = open.min()?;
        self.taken = self.taken.wrapping_add(1);
        Some(self.packets.remove(at))
    }

    /// Removes the oldest opening whose deadline has passed.
    pub fn pop_overdue(&mut self, now: Instant) -> Option<PendingPacket> {
        let mut packets = self.packets.iter();
        let at =
            packets.position(|pending| pending.class.is_some_and(|class| class.deadline <= now))?;
        Some(self.packets.remove(at))
    }

    /// Removes the oldest packet if it has been pending for `timeout`.
    pub fn pop_expired(&mut self, now: Instant, timeout: Duration) -> Option<PendingPacket> {
        let oldest = self.packets.first()?;
        (now.since(oldest.since) >= timeout).then(|| self.packets.remove(0))
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
