//! Random faults on real daemon processes, from outside them.
//!
//! A run starts a store, daemons, targets and callers on loopback and lets
//! faults come in series and overlap. It checks what callers and targets see:
//!
//! * an open flow's packets reach its target and are answered by it;
//! * nobody but its target resets an open flow while that target lives, unless
//!   the daemon on the way was itself disturbed;
//! * a packet reaches only the target whose identity stands before it, and
//!   nothing but its cookie has changed;
//! * no daemon's configuration goes back within one start;
//! * once the faults are over, the newest configuration is in force and
//!   openings are served.
//!
//! | module | part |
//! |---|---|
//! | [`Options`] | one run |
//! | [`proxy`] | what is wrong on the way to the store |
//! | [`target`] | targets |
//! | [`callers`] | callers, and the routers before them |
//! | [`run`](fn@run) | faults, checks, the report |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod callers;
mod options;
pub mod proxy;
mod report;
mod run;
pub mod target;

pub use options::Options;
pub use report::Report;
pub use run::run;
