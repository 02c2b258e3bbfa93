//! Membership records of an entry VM.

use crate::{catalog::ZoneId, flow::Endpoint, time::Instant};

use super::MemberId;

/// The lifecycle phase of a member, announced by the member itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Phase {
    /// Fetches its initial state and owns no buckets yet.
    Joining,
    /// Owns its share of the buckets.
    Active,
    /// Still owns its share while other members fetch its state.
    Leaving,
    /// Owns no buckets and forwards packets that still arrive.
    Left,
}

/// The health of a member, as determined by other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Health {
    /// Acknowledges probes.
    Alive,
    /// Missed a probe and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
}

/// A membership record, as members exchange it by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The member.
    pub id: MemberId,
    /// Grows with every record that the member issues about itself. The initial
    /// value is the member's start in milliseconds since 1970; 0 means that no
    /// record of the member itself is known.
    pub incarnation: u64,
    /// Its lifecycle phase.
    pub phase: Phase,
    /// Its health.
    pub health: Health,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its peer socket listens.
    pub address: Endpoint,
}

/// An entry of the platform's membership list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ListEntry {
    /// The member.
    pub id: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its peer socket listens.
    pub address: Endpoint,
}

/// A member in the view of one entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The newest record.
    pub record: MemberUpdate,
    /// When its health last changed in this view.
    pub health_changed_at: Instant,
    /// Whether the platform's list contains it.
    pub listed: bool,
}

impl MemberUpdate {
    /// Returns whether this record replaces `other` of the same member: it has
    /// a higher incarnation, or the same one and a worse health.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }
}

impl Member {
    /// Returns whether the member owns buckets.
    pub fn owns_buckets(&self) -> bool {
        self.record.health != Health::Dead
            && matches!(self.record.phase, Phase::Active | Phase::Leaving)
    }

    /// Returns whether the member owns buckets and isn't leaving, so that it still
    /// owns buckets once the leaving members have left.
    pub fn is_active(&self) -> bool {
        self.record.health != Health::Dead && self.record.phase == Phase::Active
    }

    /// Returns whether the member is dead without having left.
    pub fn has_failed(&self) -> bool {
        self.record.health == Health::Dead && self.record.phase != Phase::Left
    }

    /// Returns whether a record of the member itself is known, not only the
    /// platform's list entry.
    pub fn has_announced(&self) -> bool {
        self.record.incarnation > 0
    }

    /// Returns whether the member is not known to be dead, so that messages may
    /// reach it.
    pub fn reachable(&self) -> bool {
        self.record.health != Health::Dead
    }
}
