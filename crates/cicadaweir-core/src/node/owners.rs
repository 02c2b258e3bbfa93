//! The member that currently decides for a slot.

use crate::prelude::*;

use super::{
    Guard, Node,
    recovery::{TAKE_OVER_TIMEOUT, VIEW_CONVERGENCE_TIME},
};

impl Node {
    /// Returns the member that decides for a slot, for a packet that `from`
    /// relayed, or that came from a caller if `from` is absent.
    ///
    /// A new owner relays to the previous one until its take-over request is
    /// answered. Until it has answered, the previous owner decides for packets
    /// that the new owner relays to it; afterwards it decides for none.
    pub(super) fn acting_owner(
        &self,
        now: Instant,
        slot: u16,
        from: Option<MemberId>,
    ) -> Option<MemberId> {
        let me = self.view.me();
        let owner = self.slots.owner(slot);
        if !self.guard_enabled(Guard::TakeOver) {
            return owner;
        }
        let recovery = &self.recovery;
        let recent = |at: Instant| now.since(at) < TAKE_OVER_TIMEOUT;
        if let Some(&(new, _)) = recovery.taken_slots.get(&slot).filter(|t| recent(t.1)) {
            if owner == Some(me)
                && self.is_reachable(new)
                && recovery.gained_slots.get(&slot).is_none()
            {
                return Some(new);
            }
            return owner;
        }
        if owner != Some(me) {
            let still_decides =
                from == owner && recovery.lost_slots.get(&slot).is_some_and(|&at| recent(at));
            return if still_decides { Some(me) } else { owner };
        }
        match recovery.gained_slots.get(&slot) {
            Some(&(previous, at)) if self.is_reachable(previous) => {
                let transferring =
                    now.since(at) < VIEW_CONVERGENCE_TIME || recovery.is_incomplete(slot);
                if transferring { Some(previous) } else { owner }
            }
            _ => owner,
        }
    }

    /// Returns whether a member is known and not considered dead.
    pub(super) fn is_reachable(&self, id: MemberId) -> bool {
        self.view.get(id).is_some_and(|m| m.reachable())
    }
}
