//! Health and load of targets: which of them get a reduced share of new flows or
//! none, and which openings are refused.

mod admission;
mod health;
mod mark;
mod options;
mod passive_health;
mod report;

pub use admission::{Admission, Limits, is_loaded, pending_limit};
pub use health::HealthTracker;
pub use mark::{Mark, MarkUpdate};
pub use options::Options;
pub use passive_health::PassiveHealth;
pub use report::{LoadUpdate, ProbeResult, Report};
