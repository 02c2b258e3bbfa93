//! The membership view of one entry VM.

use indexmap::IndexMap;

use crate::{
    hash,
    time::{Duration, Instant},
};

use super::{Health, ListEntry, Member, MemberId, MemberUpdate, Phase};

/// The result of merging a record into a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was not newer than the known one.
    Unchanged,
    /// The record was new and must be disseminated.
    Updated,
    /// The record about this member was wrong; its own new record must be
    /// disseminated.
    Refuted,
}

/// The membership view of one entry VM.
#[derive(Debug, Clone)]
pub struct View {
    me: MemberId,
    members: IndexMap<MemberId, Member>,
    /// Whether other members have declared this member dead.
    was_declared_dead: bool,
}

impl View {
    /// Creates a view that contains only this member.
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

    /// Returns this member's identifier.
    pub const fn me(&self) -> MemberId {
        self.me
    }

    /// Returns this member's record.
    pub fn my_record(&self) -> &MemberUpdate {
        &self.members[&self.me].record
    }

    /// Returns the member with an identifier, if it is known.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns the number of known members, including this one and dead ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known. A view contains at least its own
    /// member, so this is always false.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Iterates over all known members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the other members that are not dead.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.record.id != self.me && m.reachable())
    }

    /// Returns the number of members that own buckets, at least 1.
    pub fn owner_count(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.owns_buckets())
            .count()
            .max(1)
    }

    /// Sets this member's phase under a new incarnation; returns the record to
    /// disseminate.
    pub fn set_phase(&mut self, phase: Phase) -> MemberUpdate {
        let me = &mut self.members[&self.me];
        me.record.phase = phase;
        me.record.incarnation += 1;
        me.record
    }

    /// Merges a record received from another member.
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

    /// Refutes a wrong record about this member with a higher incarnation.
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

    /// Returns whether other members have declared this member dead, and resets
    /// the flag.
    pub fn take_declared_dead(&mut self) -> bool {
        std::mem::take(&mut self.was_declared_dead)
    }

    /// Sets a member's health if `health` is worse than the known one; returns
    /// the record to disseminate. This member's own health never changes.
    pub fn degrade_health(
        &mut self,
        id: MemberId,
        health: Health,
        now: Instant,
    ) -> Option<MemberUpdate> {
        let member = self.members.get_mut(&id)?;
        if member.record.health >= health || id == self.me {
            return None;
        }
        member.record.health = health;
        member.health_changed_at = now;
        Some(member.record)
    }

    /// Applies the platform's list, which adds candidates and never removes a
    /// member.
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

    /// Removes dead members that are not listed and whose health last changed
    /// at least `tombstone_ttl` ago.
    pub fn evict_dead(&mut self, now: Instant, tombstone_ttl: Duration) {
        let me = self.me;
        self.members.retain(|id, m| {
            *id == me || m.listed || m.reachable() || now.since(m.health_changed_at) < tombstone_ttl
        });
    }

    /// Returns a digest of the set of bucket owners, for comparing views.
    pub fn digest(&self) -> u64 {
        self.members
            .values()
            .filter(|m| m.owns_buckets())
            .fold(0, |acc, m| acc ^ hash::mix(u64::from(m.record.id.0), 1))
    }
}
