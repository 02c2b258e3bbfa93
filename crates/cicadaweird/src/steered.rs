//! The daemon for packets that name their target in a cookie.
//!
//! One thread runs the loop with the packet socket and the
//! [`cicadaweir_core::steer::Steering`]; following the store, the HTTP
//! endpoints and the log's output run on threads of their own.
//!
//! | module | job |
//! |---|---|
//! | [`Engine`] | packets in, packets out, lines and counters for both |
//! | [`follow`] | the store's client, on its thread |
//! | [`StoreClient`] | one call of the store |
//! | [`endpoint`] | readiness and metrics over HTTP |
//! | [`Meters`] | counters and histograms |

mod client;
pub mod endpoint;
mod engine;
mod follow;
mod meters;
mod run;
mod signals;
mod stopping;

pub use client::{StoreClient, StoreError};
pub use engine::Engine;
pub use follow::{News, follow};
pub use meters::Meters;
pub use run::{Inbox, Input, run};
pub use signals::watch_signals;
pub use stopping::Stopping;
