//! The main job on one machine, under failure: nine daemons in three zones,
//! targets, callers and a fabric in one process, with real packets through
//! real sockets on loopback.

mod outcome;
mod script;
mod testbed;

pub use outcome::{Outcome, Verdict};
pub use script::{Options, run};
