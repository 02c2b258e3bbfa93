//! Which records ride on the next messages.

use indexmap::IndexMap;

use super::{MemberId, MemberUpdate};

/// How many times a record is sent, as a multiple of the logarithm of the
/// number of members.
pub const TRANSMISSIONS_PER_LOG: u32 = 2;

/// Records on one message in quiet times.
const FEW: usize = 6;

/// Records on one message when many wait; they fit a datagram of 1,400 bytes.
const MANY: usize = 20;

/// Records that are still to be passed on, with the transmissions left.
#[derive(Debug, Clone, Default)]
pub struct Dissemination {
    queue: IndexMap<MemberId, (MemberUpdate, u32)>,
}

impl Dissemination {
    /// Queues a record, in place of an older one of the same member.
    pub fn push(&mut self, update: MemberUpdate, members: usize) {
        let log = usize::BITS - members.leading_zeros();
        self.queue
            .insert(update.id, (update, TRANSMISSIONS_PER_LOG * log));
    }

    /// Takes the records for one message, least-sent first; more of them when
    /// many wait, as after the loss of a zone.
    pub fn take(&mut self) -> Vec<MemberUpdate> {
        let most = if self.queue.len() > 2 * FEW {
            MANY
        } else {
            FEW
        };
        self.queue
            .sort_unstable_by(|_, a, _, b| b.1.cmp(&a.1).then(a.0.id.cmp(&b.0.id)));
        let taken: Vec<MemberUpdate> = self.queue.values().take(most).map(|v| v.0).collect();
        for update in &taken {
            let entry = &mut self.queue[&update.id];
            entry.1 -= 1;
        }
        self.queue.retain(|_, v| v.1 > 0);
        taken
    }

    /// Returns the number of records that are still to be passed on.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
