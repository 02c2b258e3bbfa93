//! The contents of a release note.

use crate::flow::{Endpoint, Protocol};

use super::{NoteId, Revision, ZoneId};

/// A set of catalog changes, accepted or proposed, that is applied as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseNote {
    /// The revision of the catalog after the note is applied.
    pub revision: Revision,
    /// The identifier assigned by the publisher.
    pub id: NoteId,
    /// The publication time, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

/// One change of a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Adds a service with its addresses and targets.
    AddService(ServiceSpec),
    /// Withdraws a service: its addresses accept no new flows.
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
    /// Changes a target's weight, limits or probe endpoint; its tunnel endpoint
    /// and zone must not change.
    ChangeTarget {
        /// The service's name.
        service: String,
        /// The target after the change.
        target: TargetSpec,
    },
    /// Withdraws a target: it gets no new flows and keeps its existing ones.
    WithdrawTarget {
        /// The service's name.
        service: String,
        /// The target's name.
        target: String,
    },
}

/// The definition of a service in a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The name, unique among all services, including withdrawn ones.
    pub name: String,
    /// The addresses to which callers connect.
    pub addresses: Vec<AddressSpec>,
    /// The initial targets.
    pub targets: Vec<TargetSpec>,
}

/// A service address: protocol, IP address and port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AddressSpec {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The IP address and port.
    pub endpoint: Endpoint,
}

/// The definition of a target in a release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// The name, unique among the active targets of the service.
    pub name: String,
    /// The tunnel endpoint.
    pub endpoint: Endpoint,
    /// The availability zone.
    pub zone: ZoneId,
    /// The weight, 1 to 1,000: its share of the service's flows relative to the
    /// other targets.
    pub weight: u16,
    /// The maximum number of open connections.
    pub connections: u32,
    /// The number of requests that the target processes concurrently.
    pub slots: u16,
    /// The endpoint for health and load probes, or `None` if the target is not
    /// probed.
    pub probe: Option<Endpoint>,
}
