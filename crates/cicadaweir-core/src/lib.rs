//! The decisions of cicadaweir, as deterministic state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. A
//! driver (the daemon, a replayed trace, a model, a benchmark) passes the
//! current time and an [`event::Event`] to a [`node::Node`], and carries out
//! the [`action::Action`]s that it finds in its own buffer afterwards.
//!
//! | module | decides |
//! |---|---|
//! | [`flow`] | what is remembered of a flow, and for how long |
//! | [`catalog`] | which services, addresses and targets a release note leaves |
//! | [`placement`] | which target a bucket of flows has in a generation |
//! | [`membership`] | which entry VMs are alive, and which owns a bucket |
//! | [`agreement`] | when a generation that is known comes into force |
//! | [`route`] | where one packet goes |
//! | [`load`] | which targets take no or less new work, and who is refused |
//! | [`pace`] | which queued answer leaves next |
//! | [`request`] | the admission unit: queue, slots, deadline, at-most-once |
//! | [`mirror`] | when to read the store, and what its answers change |
//! | [`steer`] | where a packet goes that names its target itself |
//! | [`node`] | one entry VM: all of the above behind one event loop |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod action;
pub mod agreement;
pub mod catalog;
pub mod error;
pub mod event;
pub mod flow;
pub mod hash;
pub mod load;
pub mod membership;
pub mod message;
pub mod mirror;
pub mod node;
pub mod pace;
pub mod packet;
pub mod placement;
pub mod prelude;
pub mod request;
pub mod route;
pub mod steer;
pub mod time;
