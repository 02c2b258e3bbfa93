//! The decision logic of the load balancer cicadaweir, as deterministic state
//! machines.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread. A
//! driver (the daemon, a trace replay, a model, a benchmark) passes the current
//! time and an [`event::Event`] to a [`node::Node`], which appends
//! [`action::Action`]s to a buffer of the driver; the driver then executes them.
//!
//! | module | contents |
//! |---|---|
//! | [`flow`] | the flow table: the target and state of known flows, and their expiry |
//! | [`catalog`] | the services, addresses and targets, changed by release notes |
//! | [`placement`] | the assignment of buckets of flows to targets in a generation |
//! | [`membership`] | which entry VMs are alive, and which of them owns a bucket |
//! | [`agreement`] | when a known generation comes into force |
//! | [`route`] | the routing decision for a packet |
//! | [`load`] | health checks and admission control of targets |
//! | [`pace`] | the order in which queued response packets are sent to callers |
//! | [`request`] | dispatching of requests: queue, slots, deadlines, at-most-once execution |
//! | [`mirror`] | when to read the store, and the changes that result from its responses |
//! | [`steer`] | routing of packets that carry the identity of their target |
//! | [`node`] | an entry VM, which combines the modules above in one event loop |
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
