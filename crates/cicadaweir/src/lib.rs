//! The operations behind the command-line tool.
//!
//! | module | operation |
//! |---|---|
//! | [`publish`] | makes a release note the newest one |
//! | [`history`] | reads release notes back and replays them |
//! | [`fleet`] | asks all entry VMs through their control endpoints |
//! | [`steered`] | reads a deployment whose packets name their target |
//! | [`demo`] | the main job on one machine, under failure |
//! | [`report`] | what the commands print |
//! | [`exit`] | the table from error kind to exit code |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod demo;
pub mod exit;
pub mod fleet;
pub mod history;
pub mod publish;
pub mod report;
pub mod steered;
