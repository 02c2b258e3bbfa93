//! The members as one entry VM sees them.

use indexmap::IndexMap;

use crate::{
    hash,
    time::{Duration, Instant},
};

use super::{Health, ListEntry, Member, MemberId, MemberUpdate, Phase};

/// What merging a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing: the record was old.
    Unchanged,
    /// The record was news, to be passed on.
    Updated,
    /// The record is about this member and is wrong: the newer record of
    /// itself is to be passed on.
    Refuted,
}

/// The membership view of one entry VM.
#[derive(Debug, Clone)]
pub struct View {
    me: MemberId,
    members: IndexMap<MemberId, Member>,
    /// Set when this member learns that the others took it for dead.
    was_declared_dead: bool,
}

impl View {
    /// Makes a view that holds this member alone.
    pub fn new(me: MemberUpdate, now: Instant) -> Self {
        let member = Member {
            record: me,
            health_changed_at: now,
            listed: true,
        };
        Self {
            me: me.id,
            members: IndexMap::from([(me.id, member)]),
            was_declared_dead: false,
        }
    }

    /// Returns this member's identity.
    pub const fn me(&self) -> MemberId {
        self.me
    }

    /// Returns this member's record.
    pub fn my_record(&self) -> &MemberUpdate {
        &self.members[&self.me].record
    }

    /// Returns a member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns the number of known members, dead ones too.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known; never true in practice.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Iterates over all known members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the members other than this one that answer.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.record.id != self.me && m.reachable())
    }

    /// Returns the number of members that own buckets, at least 1.
    pub fn owners(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.owns_buckets())
            .count()
            .max(1)
    }

    /// Moves this member to another phase under a new incarnation.
    pub fn set_phase(&mut self, phase: Phase) -> MemberUpdate {
        let me = &mut self.members[&self.me];
        me.record.phase = phase;
        me.record.incarnation += 1;
        me.record
    }

    /// Merges a record that another member passed on.
    pub fn merge(&mut self, update: &MemberUpdate, now: Instant) -> MergeOutcome {
        if update.id == self.me {
            return self.merge_own(update);
        }
        let Some(member) = self.members.get_mut(&update.id) else {
            self.members.insert(
                update.id,
                Member {
                    record: *update,
                    health_changed_at: now,
                    listed: false,
                },
            );
            return MergeOutcome::Updated;
        };
        if !update.supersedes(&member.record) {
            return MergeOutcome::Unchanged;
        }
        if update.health != member.record.health {
            member.health_changed_at = now;
        }
        member.record = *update;
        MergeOutcome::Updated
    }

    /// Refutes a wrong record of this member.
    fn merge_own(&mut self, update: &MemberUpdate) -> MergeOutcome {
        let me = &mut self.members[&self.me].record;
        let wrong = update.health != Health::Alive || update.incarnation > me.incarnation;
        if update.incarnation < me.incarnation || !wrong {
            return MergeOutcome::Unchanged;
        }
        me.incarnation = update.incarnation + 1;
        self.was_declared_dead |= update.health == Health::Dead;
        MergeOutcome::Refuted
    }

    /// Returns, once, whether the others had taken this member for dead.
    pub fn take_declared_dead(&mut self) -> bool {
        std::mem::take(&mut self.was_declared_dead)
    }

    /// Records that a member did not answer or did not refute.
    pub fn worsen(&mut self, id: MemberId, health: Health, now: Instant) -> Option<MemberUpdate> {
        let member = self.members.get_mut(&id)?;
        if member.record.health >= health || id == self.me {
            return None;
        }
        member.record.health = health;
        member.health_changed_at = now;
        Some(member.record)
    }

    /// Takes over the platform's list: it adds candidates and never removes
    /// a member that answers.
    pub fn apply_list(&mut self, list: &[ListEntry], now: Instant) {
        for member in self.members.values_mut() {
            member.listed = list.iter().any(|e| e.id == member.record.id);
        }
        for entry in list {
            let record = MemberUpdate {
                id: entry.id,
                incarnation: 0,
                phase: Phase::Joining,
                health: Health::Alive,
                zone: entry.zone,
                address: entry.address,
            };
            self.members.entry(entry.id).or_insert(Member {
                record,
                health_changed_at: now,
                listed: true,
            });
        }
    }

    /// Forgets dead members that the list dropped long ago.
    pub fn evict_dead(&mut self, now: Instant, tombstone: Duration) {
        let me = self.me;
        self.members.retain(|id, m| {
            *id == me || m.listed || m.reachable() || now.since(m.health_changed_at) < tombstone
        });
    }

    /// Returns a digest of who owns buckets, equal on members that agree.
    pub fn digest(&self) -> u64 {
        self.members
            .values()
            .filter(|m| m.owns_buckets())
            .fold(0, |acc, m| acc ^ hash::mix(u64::from(m.record.id.0), 1))
    }
}
