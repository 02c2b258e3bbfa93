//! Injects random faults into real daemon processes and their surroundings.
//!
//! A run starts a store, daemons, targets and callers on loopback and injects
//! random faults one after the other; their effects may overlap. It checks these
//! invariants on what callers and targets receive:
//!
//! * packets of an open flow reach the target of the flow and are answered by it;
//! * only its target resets an open flow while that target is alive, unless the
//!   daemon that handled the packet was itself disturbed by a fault;
//! * callers use their ports again soon, with other sequence numbers, and some pause for longer
//!   than a daemon counts as disturbed;
//! * a target handles only packets that carry its identity, and only the cookie
//!   in them is changed by daemons;
//! * the configuration version of a daemon process never decreases;
//! * after the last fault, the latest configuration is applied and openings are
//!   served.
//!
//! | item | content |
//! |---|---|
//! | [`Options`] | the options of a run |
//! | [`proxy`] | faults of the connections between daemons and store |
//! | [`target`] | targets |
//! | [`callers`] | callers |
//! | [`config`] | changes of the configuration under faults |
//! | [`link`] | links between daemons, and to the store, that can be cut |
//! | [`run`](fn@run) | faults, routing of flows to daemons, checks and the report |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod callers;
pub mod config;
pub mod link;
mod options;
pub mod proxy;
mod report;
mod run;
pub mod target;

pub use options::Options;
pub use report::Report;
pub use run::run;
