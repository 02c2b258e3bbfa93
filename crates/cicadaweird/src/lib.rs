//! The daemon that runs on each entry VM.
//!
//! One thread runs the `stakker` event loop with the tunnel socket, the peer
//! socket and the [`cicadaweir_core::node::Node`]. Blocking HTTP (the
//! platform's store and membership list, target probes, the control endpoint)
//! runs on a few helper threads that send their results to the event loop
//! through an [`inbox::Inbox`].
//!
//! | module | purpose |
//! |---|---|
//! | [`settings`] | parsing and validating the settings file |
//! | [`daemon`] | the Geneve event loop around the core: events in, actions out |
//! | [`steered`] | the event loop for packets that name their target in a cookie |
//! | [`logs`] | log output through a bounded queue, without blocking |
//! | [`clock`] | the clock of the core's decisions |
//! | [`threads`] | threads whose panics are reported |
//! | [`event_loop`] | running a `stakker` loop until it shuts down |
//! | [`signals`] | signals as inputs of an event loop |
//! | [`planned_stop`] | deciding when a planned stop is complete |
//! | [`inbox`] | inputs from helper threads to an event loop |
//! | [`tunnel`] | Geneve headers and the inner IP packet |
//! | [`socket`] | batched UDP sockets |
//! | [`pool`] | buffers for pending packets |
//! | [`platform`] | clients of the store and the membership list |
//! | [`control`] | the HTTP endpoint for the command-line tool |
//! | [`probe`] | health and load probes of targets |
//! | [`pacer`] | rate limit of answers towards callers |
//! | [`metrics`] | counters and gauges over statsd |
//! | [`tracing`] | trace spans of sampled flows |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod clock;
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
pub mod threads;
pub mod tracing;
pub mod tunnel;
