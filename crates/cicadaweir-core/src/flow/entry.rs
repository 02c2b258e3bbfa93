//! One remembered flow, 48 bytes.

use crate::catalog::{AddressKey, TargetKey};

use super::FlowState;

/// Bits of a [`FlowEntry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FlowFlags(u8);

impl FlowFlags {
    /// The caller's side has closed.
    pub const CALLER_CLOSED: Self = Self(1);
    /// The target's side has closed.
    pub const TARGET_CLOSED: Self = Self(2);
    /// An answer of the target was seen, so the target is certain.
    pub const ANSWERED: Self = Self(4);
    /// This entry VM opened the flow as the owner of its bucket.
    pub const PLACED_HERE: Self = Self(8);
    /// The caller has sent data that no answer seen here has followed.
    pub const UNANSWERED: Self = Self(16);
    /// The caller has repeated such data.
    pub const RETRANSMITTED: Self = Self(32);

    /// Returns whether all bits of `other` are set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Sets the bits of `other`.
    pub fn insert(&mut self, other: Self) {
        self.0 |= other.0;
    }

    /// Clears the bits of `other`.
    pub fn remove(&mut self, other: Self) {
        self.0 &= !other.0;
    }
}

/// One remembered flow.
///
/// The key is held in full: the caller's address and port, and the service's
/// address as an [`AddressKey`], which stands for protocol, address and port.
#[derive(Debug, Clone, Copy)]
pub struct FlowEntry {
    pub(super) flow_hash: u64,
    pub(super) caller_ip: [u8; 16],
    pub(super) caller_port: u16,
    pub(super) address: u16,
    /// The target that the flow's packets go to.
    pub target: TargetKey,
    /// The time of the last packet from the caller, in [`super::table::TICK`]s.
    pub(super) caller_seen: u32,
    /// The time of the last packet from the target, in [`super::table::TICK`]s.
    pub(super) target_seen: u32,
    /// The sequence number of the caller's last data.
    pub(super) sequence: u32,
    /// The time of the first data that no answer seen here has followed, in
    /// the low 16 bits of [`super::table::TICK`]s.
    pub(super) asked: u16,
    /// How far the flow has come.
    pub state: FlowState,
    /// What else is known.
    pub flags: FlowFlags,
}

impl FlowEntry {
    /// Returns the keyed hash of the flow.
    pub const fn flow_hash(&self) -> u64 {
        self.flow_hash
    }

    /// Returns the service's address.
    pub const fn address(&self) -> AddressKey {
        AddressKey(self.address as u32)
    }

    /// Returns the address and port of the caller.
    pub const fn caller(&self) -> super::Endpoint {
        super::Endpoint {
            ip: self.caller_ip,
            port: self.caller_port,
        }
    }
}
