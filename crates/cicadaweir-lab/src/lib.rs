//! Deterministic simulations and benchmarks of the decision core.
//!
//! A [`world::World`] runs real [`cicadaweir_core::node::Node`]s in virtual time
//! from a seed. It simulates links with delay and loss, targets with slots and
//! connections, and callers that retransmit. A [`scenario::Scenario`] consists of
//! a load and faults and runs on a [`scenario::Deployment`]. A run returns
//! [`measure::Measures`], which count invariant violations separately from
//! measures of quality.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod capacity;
pub mod decisions;
pub mod fleet;
pub mod measure;
pub mod overload;
pub mod pacing;
pub mod report;
pub mod scenario;
pub mod throughput;
pub mod world;
