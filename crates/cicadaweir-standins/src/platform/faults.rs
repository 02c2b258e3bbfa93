//! Faults that tests inject into the platform.

use std::time::Duration;

/// The active faults of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// The delay added to every call.
    pub delay: Duration,
    /// The number of following writes that take effect although the caller
    /// gets status 504.
    pub lost_write_responses: u32,
    /// Whether updates of the membership list are ignored.
    pub list_frozen: bool,
}
