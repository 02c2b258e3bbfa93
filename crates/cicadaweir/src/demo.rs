//! A demonstration with injected failures on one machine.
//!
//! Nine daemons in three zones, targets, callers and a fabric, which distributes the
//! callers' packets over the entry VMs, run in one process and exchange packets
//! through sockets on the loopback interface.

mod outcome;
mod script;
mod testbed;

pub use outcome::{Outcome, Verdict};
pub use script::{Options, run};
