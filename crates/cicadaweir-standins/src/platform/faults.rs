//! Switchable faults.

use std::time::Duration;

/// What is wrong with the platform at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Every call takes this much longer.
    pub delay: Duration,
    /// So many of the next writes take effect without an answer.
    pub lost_write_responses: u32,
    /// The membership list stays as it was when this was set.
    pub list_frozen: bool,
}
