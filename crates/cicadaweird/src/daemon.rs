//! The loop: events in, actions out.

mod datagrams;
mod engine;
mod handle;
mod outputs;
mod report;
mod run;

pub use handle::{Handle, spawn};
pub use run::run;
