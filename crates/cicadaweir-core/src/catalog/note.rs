//! What a release note says.

use crate::flow::{Endpoint, Protocol};

use super::{NoteId, Revision, ZoneId};

/// One accepted, or proposed, set of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseNote {
    /// The revision that the note makes.
    pub revision: Revision,
    /// The identity that its publisher gave it.
    pub id: NoteId,
    /// When it was published, in milliseconds since 1970.
    pub published_ms: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// One change of a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Adds a service with its addresses and targets.
    AddService(ServiceSpec),
    /// Withdraws a service: its addresses take no new flows.
    WithdrawService {
        /// The service's name.
        service: String,
    },
    /// Adds a target to a service.
    AddTarget {
        /// The service's name.
        service: String,
        /// The new target.
        target: TargetSpec,
    },
    /// Changes a target's weight or limits; its endpoint and zone stay.
    ChangeTarget {
        /// The service's name.
        service: String,
        /// The target as it shall be.
        target: TargetSpec,
    },
    /// Withdraws a target: it takes no new flows and keeps those it has.
    WithdrawTarget {
        /// The service's name.
        service: String,
        /// The target's name.
        target: String,
    },
}

/// A service as a release note describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The name, unique among services.
    pub name: String,
    /// The stable addresses.
    pub addresses: Vec<AddressSpec>,
    /// The targets.
    pub targets: Vec<TargetSpec>,
}

/// A protocol, address and port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AddressSpec {
    /// The transport protocol.
    pub protocol: Protocol,
    /// Address and port.
    pub endpoint: Endpoint,
}

/// A target as a release note describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// The name, unique within the service.
    pub name: String,
    /// The tunnel endpoint.
    pub endpoint: Endpoint,
    /// The availability zone.
    pub zone: ZoneId,
    /// The share of flows, against the other targets of the service.
    pub weight: u16,
    /// The most connections that the target holds.
    pub connections: u32,
    /// Requests that the target works on at once.
    pub slots: u16,
    /// Where health and load are asked for, if anywhere.
    pub probe: Option<Endpoint>,
}
