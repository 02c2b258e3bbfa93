//! The subcommands.

mod bench;
mod capacity;
mod guards;
mod overload;
mod scenarios;

pub use bench::{bench, pacing};
pub use capacity::{capacity, fleet_sizes};
pub use guards::guards;
pub use overload::overload;
pub use scenarios::{record, scenarios, trace, write_report};
