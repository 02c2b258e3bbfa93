//! The operations of the command-line tool.
//!
//! | module | operation |
//! |---|---|
//! | [`publish`] | publishes a release note |
//! | [`history`] | reads release notes and snapshots from the store |
//! | [`fleet`] | queries all entry VMs through their control endpoints |
//! | [`steered`] | reads the state of a deployment whose packets carry a cookie with their target |
//! | [`demo`] | runs a demonstration with injected failures on one machine |
//! | [`report`] | formats the output of the subcommands |
//! | [`exit`] | maps kinds of errors to exit codes |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod demo;
pub mod exit;
pub mod fleet;
pub mod history;
pub mod publish;
pub mod report;
pub mod steered;
