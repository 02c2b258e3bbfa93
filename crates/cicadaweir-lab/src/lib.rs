//! Experiments on the decisions, in virtual time and from seeds.
//!
//! A [`world::World`] is a queue of events around real
//! [`cicadaweir_core::node::Node`]s: links with delay and loss, targets with
//! slots and connections, callers that repeat what is lost. A
//! [`scenario::Scenario`] names a deployment, its load and its faults; running
//! it gives a [`measure::Measures`], in which broken invariants are kept apart
//! from missed quality targets.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod capacity;
pub mod decisions;
pub mod fleet;
pub mod measure;
pub mod pacing;
pub mod report;
pub mod scenario;
pub mod throughput;
pub mod world;
