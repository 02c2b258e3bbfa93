//! The Geneve event loop: passes events to the core and executes its actions.

mod datagrams;
mod engine;
mod handle;
mod outputs;
mod report;
mod run;

pub use handle::{Handle, spawn};
pub use run::run;
