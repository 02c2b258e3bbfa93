//! Why a release note is refused.

use std::fmt;

use crate::{error::ErrorKind, flow::Endpoint};

use super::{AddressSpec, Revision};

/// Why a release note does not fit the catalog; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoteError {
    /// The note makes another revision than the next one.
    OutOfOrder {
        /// The revision that the catalog stands at.
        have: Revision,
        /// The revision that the note makes.
        note: Revision,
    },
    /// A service is added that exists.
    ServiceExists(String),
    /// A service is named that does not exist.
    ServiceUnknown(String),
    /// An address belongs to a service already.
    AddressTaken(AddressSpec, String),
    /// A service has no address.
    WithoutAddress(String),
    /// A target is added that exists.
    TargetExists(String, String),
    /// A target is named that does not exist.
    TargetUnknown(String, String),
    /// Two targets of a service have one endpoint.
    EndpointTaken(String, Endpoint),
    /// A change moves a target to another endpoint or zone.
    TargetMoved(String, String),
    /// A weight is not between 1 and 1,000.
    WeightOutOfRange(String, u16),
    /// A limit on connections or slots is 0.
    LimitZero(String, String),
    /// A service would be left without targets.
    WithoutTargets(String),
    /// A service would have more targets than buckets allow.
    TooManyTargets(String, usize),
    /// A name is empty, longer than 63 bytes, or has other characters than
    /// letters, digits, `-`, `_` and `.`.
    NameInvalid(String),
    /// The catalog has as many addresses as it may.
    TooManyAddresses,
    /// The note changes nothing.
    Empty,
}

impl NoteError {
    /// Returns the kind in the closed list.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::OutOfOrder { .. } => ErrorKind::NoteConflict,
            _ => ErrorKind::NoteInvalid,
        }
    }
}

impl fmt::Display for NoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder { have, note } => {
                write!(
                    f,
                    "the note makes revision {note}, the catalog stands at {have}"
                )
            }
            Self::ServiceExists(name) => write!(f, "service {name:?} exists already"),
            Self::ServiceUnknown(name) => write!(f, "service {name:?} does not exist"),
            Self::AddressTaken(a, name) => write!(
                f,
                "address {}://{} belongs to service {name:?}",
                a.protocol, a.endpoint
            ),
            Self::WithoutAddress(name) => write!(f, "service {name:?} has no address"),
            Self::TargetExists(service, name) => {
                write!(f, "target {name:?} of service {service:?} exists already")
            }
            Self::TargetUnknown(service, name) => {
                write!(f, "target {name:?} of service {service:?} does not exist")
            }
            Self::EndpointTaken(service, endpoint) => write!(
                f,
                "two targets of service {service:?} have the endpoint {endpoint}"
            ),
            Self::TargetMoved(service, name) => write!(
                f,
                "target {name:?} of service {service:?} would move: withdraw it and add another"
            ),
            Self::WeightOutOfRange(name, weight) => write!(
                f,
                "target {name:?} has weight {weight}; allowed are 1 to 1000"
            ),
            Self::LimitZero(service, name) => write!(
                f,
                "target {name:?} of service {service:?} allows 0 connections or slots"
            ),
            Self::WithoutTargets(name) => {
                write!(f, "service {name:?} would be left without targets")
            }
            Self::TooManyTargets(name, count) => write!(
                f,
                "service {name:?} would have {count} targets; allowed are {}",
                crate::placement::MAX_TARGETS
            ),
            Self::NameInvalid(name) => write!(
                f,
                "name {name:?} is not 1 to 63 letters, digits, '-', '_' or '.'"
            ),
            Self::TooManyAddresses => write!(
                f,
                "there would be more than {} addresses",
                super::MAX_ADDRESSES
            ),
            Self::Empty => f.write_str("the note changes nothing"),
        }
    }
}

impl std::error::Error for NoteError {}
