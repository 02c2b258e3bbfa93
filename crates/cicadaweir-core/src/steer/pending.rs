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

/// Of this many openings that leave the queue, one is the oldest whatever its
/// priority, so that no priority starves.
const OLDEST_EVERY: u32 = 4;

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
    /// What it waits for; absent if it isn't an opening, or while its route is
    /// unknown.
    pub class: Option<OpeningClass>,
    /// What is to be done when it leaves the queue.
    pub fate: Fate,
}

impl PendingPacket {
    /// Returns whether no copy of this opening can have passed another entry VM.
    fn is_first_copy(&self) -> bool {
        self.segment.copy == 0
    }
}

/// Packets without a decision, in order of arrival.
#[derive(Debug, Default)]
pub struct PendingPackets {
    packets: Vec<PendingPacket>,
    /// Counts the openings that left the queue by their priority.
    taken: u32,
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

    /// Returns the number of openings of a service that wait for the first time.
    pub fn waiting(&self, service: ServiceKey) -> usize {
        let of_service = self.openings(service);
        of_service.filter(|pending| pending.is_first_copy()).count()
    }

    /// Refuses the latest opening of the lowest priority below `priority` that wait
    /// for a service, if more than `reserved` of that priority wait. Returns whether
    /// there is one.
    pub fn refuse_lower(&mut self, service: ServiceKey, priority: u8, reserved: usize) -> bool {
        let candidates = self.packets.iter().enumerate().filter(|(_, pending)| {
            pending.is_first_copy()
                && pending.fate == Fate::Decide
                && pending
                    .class
                    .is_some_and(|class| class.service == service && class.priority > priority)
        });
        let lowest =
            candidates.max_by_key(|(at, pending)| (pending.class.map(|c| c.priority), *at));
        let Some((at, lowest)) = lowest.map(|(at, pending)| (at, pending.class)) else {
            return false;
        };
        let of_priority = |pending: &&PendingPacket| {
            pending.class.map(|c| c.priority) == lowest.map(|c| c.priority)
        };
        let waiting = self.openings(service).filter(of_priority).count();
        if waiting <= reserved {
            return false;
        }
        self.packets[at].fate = Fate::Refuse;
        true
    }

    fn openings(&self, service: ServiceKey) -> impl Iterator<Item = &PendingPacket> {
        self.packets.iter().filter(move |pending| {
            pending.fate == Fate::Decide
                && pending.class.is_some_and(|class| class.service == service)
        })
    }

    /// Removes the oldest packet that needn't wait: one that is refused, one that
    /// isn't an opening, or an opening without a route.
    pub fn pop_decidable(&mut self) -> Option<PendingPacket> {
        let mut packets = self.packets.iter();
        let at =
            packets.position(|pending| pending.class.is_none() || pending.fate != Fate::Decide)?;
        Some(self.packets.remove(at))
    }

    /// Removes the opening that goes next among those of services for which
    /// `has_capacity` holds: those that wait for the first time before copies, the
    /// highest priority first, but now and then the oldest; of copies the latest
    /// first, as its caller is the least likely to have timed out.
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
        let takes_oldest = self.taken % OLDEST_EVERY == OLDEST_EVERY - 1;
        let rank = |(at, pending): &(usize, &PendingPacket)| {
            let class = pending.class.map_or(u8::MAX, |class| class.priority);
            if pending.is_first_copy() {
                let priority = if takes_oldest { 0 } else { class };
                (false, priority, *at, Reverse(0))
            } else {
                (true, 0, 0, Reverse(*at))
            }
        };
        let open = self
            .packets
            .iter()
            .enumerate()
            .filter(|(_, pending)| pending.class.is_some_and(|class| is_open(class.service)));
        let (at, _) = open.min_by_key(rank)?;
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
