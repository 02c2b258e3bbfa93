//! The daemon of one entry VM.
//!
//! One thread runs the `stakker` loop with the packet and peer sockets and
//! the [`cicadaweir_core::node::Node`]; blocking HTTP (the platform's store
//! and list, probes of targets, the control endpoint) runs on a few helper
//! threads that talk to the loop through an [`inbox::Inbox`].
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | the settings file, checked as a whole |
//! | [`daemon`] | the loop: events in, actions out |
//! | [`steered`] | the same for packets that name their target |
//! | [`logs`] | bounded log lines that never block |
//! | [`event_loop`], [`signals`], [`planned_stop`] | turning a loop, what signals ask of it, how it ends |
//! | [`tunnel`] | Geneve and the inner packet |
//! | [`socket`] | batched UDP |
//! | [`platform`] | the store and the membership list, behind one trait |
//! | [`control`] | the HTTP endpoint that the tool asks |
//! | [`probe`] | health and load of targets |
//! | [`pacer`] | the paced way out towards callers |
//! | [`metrics`] | statsd |
//! | [`tracing`] | spans of sampled flows |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod control;
pub mod daemon;
pub mod event_loop;
pub mod inbox;
pub mod logs;
pub mod metrics;
pub mod pacer;
pub mod planned_stop;
pub mod platform;
pub mod pool;
pub mod probe;
pub mod settings;
pub mod signals;
pub mod socket;
pub mod steered;
pub mod tracing;
pub mod tunnel;
