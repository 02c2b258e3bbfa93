//! A target (back end) of a service.

use crate::load::Mark;

use super::{ServiceKey, TargetSpec};

/// A target (back end) of a service.
#[derive(Debug, Clone)]
pub struct Target {
    /// The service to which the target belongs; never changes.
    pub service: ServiceKey,
    /// The definition from the latest release note that adds or changes the
    /// target.
    pub spec: TargetSpec,
    /// Whether a release note has withdrawn the target.
    pub withdrawn: bool,
    /// Whether the target currently gets its full share of new flows, a reduced
    /// share or none.
    pub mark: Mark,
}
