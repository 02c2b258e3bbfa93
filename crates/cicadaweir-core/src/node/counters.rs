//! What a node counts.

use indexmap::IndexMap;

use crate::{error::ErrorKind, message::MessageKind, route::Reason};

/// Counts since the start of a node.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Packets sent on to targets, by reason, in the order of [`Reason::ALL`].
    pub forwarded: [u64; Reason::ALL.len()],
    /// Packets relayed to other entry VMs.
    pub relayed: u64,
    /// Packets handed to the fabric for callers.
    pub to_callers: u64,
    /// Packets and messages that were wrong, by kind.
    pub errors: IndexMap<ErrorKind, u64>,
    /// Messages sent, by kind.
    pub messages: IndexMap<MessageKind, u64>,
    /// Lookups that were answered by another entry VM.
    pub recalled: u64,
    /// Flows that were reset towards their callers.
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

    /// Counts one message.
    pub fn message(&mut self, kind: MessageKind) {
        *self.messages.entry(kind).or_default() += 1;
    }
}
