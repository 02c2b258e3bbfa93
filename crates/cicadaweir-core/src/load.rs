//! Which targets take less or no new work, and which openings are refused.

mod admission;
mod health;
mod mark;
mod options;
mod passive_health;
mod report;

pub use admission::{Admission, Limits, is_loaded, pending_goal};
pub use health::HealthTracker;
pub use mark::{Mark, MarkUpdate};
pub use options::Options;
pub use passive_health::PassiveHealth;
pub use report::{LoadUpdate, ProbeResult, Report};
