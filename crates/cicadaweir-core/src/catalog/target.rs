//! One target.

use crate::load::Mark;

use super::{ServiceKey, TargetSpec};

/// One target of a service.
#[derive(Debug, Clone)]
pub struct Target {
    /// The service it belongs to, for good.
    pub service: ServiceKey,
    /// What the latest release note says of it.
    pub spec: TargetSpec,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
    /// Whether it takes less or no new work at the moment.
    pub mark: Mark,
}
