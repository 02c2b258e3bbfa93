//! An entry of the flow table, 48 bytes.

use crate::catalog::{AddressKey, TargetKey};

use super::FlowState;

/// Flags of a [`FlowEntry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FlowFlags(u8);

impl FlowFlags {
    /// The caller has sent a FIN.
    pub const CALLER_CLOSED: Self = Self(1);
    /// The target has sent a FIN.
    pub const TARGET_CLOSED: Self = Self(2);
    /// A packet from the target has passed this entry VM, which confirms the
    /// entry's target.
    pub const ANSWERED: Self = Self(4);
    /// This entry VM placed the flow as the owner of its bucket.
    pub const PLACED_HERE: Self = Self(8);
    /// The caller has sent data, and no packet from the target has passed this
    /// entry VM since.
    pub const UNANSWERED: Self = Self(16);
    /// The caller has retransmitted such unanswered data.
    pub const RETRANSMITTED: Self = Self(32);

    /// Returns whether all flags of `other` are set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Sets the flags of `other`.
    pub fn insert(&mut self, other: Self) {
        self.0 |= other.0;
    }

    /// Clears the flags of `other`.
    pub fn remove(&mut self, other: Self) {
        self.0 &= !other.0;
    }
}

/// An entry of the flow table.
///
/// Holds the full key of the flow: the caller's address and port, and the
/// service address as an [`AddressKey`], which identifies protocol, address and
/// port.
#[derive(Debug, Clone, Copy)]
pub struct FlowEntry {
    pub(super) flow_hash: u64,
    pub(super) caller_ip: [u8; 16],
    pub(super) caller_port: u16,
    pub(super) address: u16,
    /// The target to which the flow's packets are forwarded.
    pub target: TargetKey,
    /// The time of the last packet from the caller, in [`super::table::TIME_UNIT`]s.
    pub(super) caller_seen: u32,
    /// The time of the last packet from the target, in [`super::table::TIME_UNIT`]s.
    pub(super) target_seen: u32,
    /// The TCP sequence number of the caller's last data segment; while it is
    /// unanswered, a segment with the same number is a retransmission.
    pub(super) sequence: u32,
    /// The time of the first transmission of that segment, as the low 16 bits of
    /// the count of [`super::table::TIME_UNIT`]s.
    pub(super) unanswered_since: u16,
    /// The state of the connection.
    pub state: FlowState,
    /// Further properties of the flow.
    pub flags: FlowFlags,
}

impl FlowEntry {
    /// Returns the keyed hash of the flow.
    pub const fn flow_hash(&self) -> u64 {
        self.flow_hash
    }

    /// Returns the key of the service address.
    pub const fn address(&self) -> AddressKey {
        AddressKey(self.address as u32)
    }

    /// Returns the caller's address and port.
    pub const fn caller(&self) -> super::Endpoint {
        super::Endpoint {
            ip: self.caller_ip,
            port: self.caller_port,
        }
    }
}
