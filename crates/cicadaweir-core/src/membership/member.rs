//! What is known of one entry VM.

use crate::{catalog::ZoneId, flow::Endpoint, time::Instant};

use super::MemberId;

/// How far a member's life has come, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Phase {
    /// It fetches what it needs and owns nothing yet.
    Joining,
    /// It owns its share of the buckets.
    Active,
    /// It still owns its share, and others fetch from it.
    Leaving,
    /// It owns nothing and forwards what still arrives.
    Left,
}

/// Whether a member answers, as the others find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
}

/// One record of the membership, as members pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// The member.
    pub id: MemberId,
    /// Grows with every record that the member makes of itself; starts at
    /// the member's start in milliseconds since 1970.
    pub incarnation: u64,
    /// How far its life has come.
    pub phase: Phase,
    /// Whether it answers.
    pub health: Health,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its peer socket listens.
    pub address: Endpoint,
}

/// One line of the platform's membership list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ListEntry {
    /// The member.
    pub id: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its peer socket listens.
    pub address: Endpoint,
}

/// A member as one entry VM sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The newest record.
    pub record: MemberUpdate,
    /// When its health last changed here.
    pub health_changed_at: Instant,
    /// Whether the platform's list names it.
    pub listed: bool,
}

impl MemberUpdate {
    /// Returns whether this record replaces another of the same member.
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

    /// Returns whether the member will own buckets once leaving members left.
    pub fn is_active(&self) -> bool {
        self.record.health != Health::Dead && self.record.phase == Phase::Active
    }

    /// Returns whether the member ended without having left.
    pub fn has_failed(&self) -> bool {
        self.record.health == Health::Dead && self.record.phase != Phase::Left
    }

    /// Returns whether the member has spoken, and is not only listed.
    pub fn has_announced(&self) -> bool {
        self.record.incarnation > 0
    }

    /// Returns whether messages to the member make sense.
    pub fn reachable(&self) -> bool {
        self.record.health != Health::Dead
    }
}
