//! Selects the member records that are piggybacked on the next messages.

use indexmap::IndexMap;

use super::{MemberId, MemberUpdate};

/// The number of transmissions of a record per binary logarithm of the number
/// of members.
pub const TRANSMISSIONS_PER_LOG: u32 = 2;

/// The maximum number of records in a message with a short queue.
const MAX_RECORDS_SHORT_QUEUE: usize = 6;

/// The maximum number of records in a message with a long queue; they fit a
/// datagram of 1,400 bytes.
const MAX_RECORDS_LONG_QUEUE: usize = 20;

/// The queue of records to disseminate, with their remaining transmissions.
#[derive(Debug, Clone, Default)]
pub struct Dissemination {
    queue: IndexMap<MemberId, (MemberUpdate, u32)>,
}

impl Dissemination {
    /// Queues a record and replaces a queued one of the same member. `members`
    /// is the number of known members.
    pub fn push(&mut self, update: MemberUpdate, members: usize) {
        let log2_members = usize::BITS - members.leading_zeros();
        self.queue
            .insert(update.id, (update, TRANSMISSIONS_PER_LOG * log2_members));
    }

    /// Returns the records for one message, those with the most transmissions
    /// left first. A long queue, as after the loss of a zone, raises the number
    /// of records per message.
    pub fn take(&mut self) -> Vec<MemberUpdate> {
        let max = if self.queue.len() > 2 * MAX_RECORDS_SHORT_QUEUE {
            MAX_RECORDS_LONG_QUEUE
        } else {
            MAX_RECORDS_SHORT_QUEUE
        };
        self.queue
            .sort_unstable_by(|_, a, _, b| b.1.cmp(&a.1).then(a.0.id.cmp(&b.0.id)));
        let taken: Vec<MemberUpdate> = self.queue.values().take(max).map(|v| v.0).collect();
        for update in &taken {
            let entry = &mut self.queue[&update.id];
            entry.1 -= 1;
        }
        self.queue.retain(|_, v| v.1 > 0);
        taken
    }

    /// Returns the number of queued records.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
