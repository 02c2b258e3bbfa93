//! Counters of packets, errors, messages and lookups.

use indexmap::IndexMap;

use crate::{error::ErrorKind, message::MessageKind, route::Reason};

/// Counters of a node, all zero at its start.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Packets forwarded to targets, by reason, in the order of [`Reason::ALL`].
    pub forwarded: [u64; Reason::ALL.len()],
    /// Packets relayed to other entry VMs.
    pub relayed: u64,
    /// Packets passed to the fabric for delivery to callers.
    pub to_callers: u64,
    /// Rejected packets and messages, by kind of error.
    pub errors: IndexMap<ErrorKind, u64>,
    /// Messages sent, by kind.
    pub messages: IndexMap<MessageKind, u64>,
    /// Lookups for which another entry VM returned the flow's target.
    pub recalled: u64,
    /// Flows marked for a reset towards the caller because their target is
    /// silent.
    pub resets: u64,
}

impl Counters {
    /// Counts one error.
    pub fn error(&mut self, kind: ErrorKind) {
        *self.errors.entry(kind).or_default() += 1;
    }

    /// Counts one forwarded packet.
    pub fn forward(&mut self, reason: Reason) {
        self.forwarded[reason as usize] += 1;
    }

    /// Counts one sent message.
    pub fn message(&mut self, kind: MessageKind) {
        *self.messages.entry(kind).or_default() += 1;
    }
}
