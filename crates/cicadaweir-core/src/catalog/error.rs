//! Errors of applying a release note.

use std::fmt;

use crate::{error::ErrorKind, flow::Endpoint};

use super::{AddressSpec, Revision};

/// The reason why a release note was rejected; the catalog is unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoteError {
    /// The note's revision is not the successor of the catalog's revision.
    OutOfOrder {
        /// The revision of the catalog.
        have: Revision,
        /// The revision of the note.
        note: Revision,
    },
    /// The service to add already exists, or existed and was withdrawn.
    ServiceExists(String),
    /// The service does not exist or is withdrawn.
    ServiceUnknown(String),
    /// The address already belongs to the named service.
    AddressTaken(AddressSpec, String),
    /// The service to add has no address.
    WithoutAddress(String),
    /// The target (service, target) to add already exists.
    TargetExists(String, String),
    /// The target (service, target) does not exist or is withdrawn.
    TargetUnknown(String, String),
    /// Two targets of the service have the same IP address as tunnel endpoint.
    EndpointTaken(String, Endpoint),
    /// The change gives the target (service, target) another endpoint or zone.
    TargetMoved(String, String),
    /// The target's weight is not between 1 and 1,000.
    WeightOutOfRange(String, u16),
    /// The target (service, target) has a limit of 0 connections or slots.
    LimitZero(String, String),
    /// The service would have no target.
    WithoutTargets(String),
    /// The service would have more than [`crate::placement::MAX_TARGETS`]
    /// targets.
    TooManyTargets(String, usize),
    /// The name is empty, longer than 63 bytes, or has characters other than
    /// ASCII letters, digits, `-`, `_` and `.`.
    NameInvalid(String),
    /// The catalog would have more than [`super::MAX_ADDRESSES`] addresses.
    TooManyAddresses,
    /// The note has no changes.
    Empty,
}

impl NoteError {
    /// Returns the [`ErrorKind`] under which the error is reported.
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
                    "release note has revision {note}, but the catalog is at revision {have}"
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
                "target {name:?} of service {service:?} cannot change its endpoint or zone: withdraw it and add a new target"
            ),
            Self::WeightOutOfRange(name, weight) => {
                write!(f, "target {name:?} has weight {weight}; expected 1 to 1000")
            }
            Self::LimitZero(service, name) => write!(
                f,
                "target {name:?} of service {service:?} has a limit of 0 connections or slots; expected at least 1"
            ),
            Self::WithoutTargets(name) => {
                write!(f, "service {name:?} would be left without targets")
            }
            Self::TooManyTargets(name, count) => write!(
                f,
                "service {name:?} would have {count} targets; expected at most {}",
                crate::placement::MAX_TARGETS
            ),
            Self::NameInvalid(name) => write!(
                f,
                "name {name:?} is not 1 to 63 ASCII letters, digits, '-', '_' or '.'"
            ),
            Self::TooManyAddresses => write!(
                f,
                "catalog would have more than {} addresses",
                super::MAX_ADDRESSES
            ),
            Self::Empty => f.write_str("release note has no changes"),
        }
    }
}

impl std::error::Error for NoteError {}
