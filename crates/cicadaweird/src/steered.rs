//! The daemon for packets that name their target in a cookie.
//!
//! One thread runs the loop with the packet socket and the
//! [`cicadaweir_core::steer::Steering`]; following the store, the HTTP
//! endpoints and the log's output run on threads of their own.
//!
//! | module | job |
//! |---|---|
//! | [`Engine`] | packets in, packets out, lines and counters for both |
//! | [`Follower`] | following the store or a peer, on its thread |
//! | [`Feed`] | telling other entry VMs what is known of the store |
//! | [`StoreClient`], [`FeedClient`] | one call of the store or of a peer |
//! | [`endpoint`] | readiness and metrics over HTTP |
//! | [`Meters`] | counters and histograms |

mod changes;
mod client;
pub mod endpoint;
mod engine;
mod feed;
mod follow;
mod meters;
mod run;
mod seeds;

pub use changes::decode_change;
pub use client::{FeedAnswer, FeedClient, FeedWatch, StoreClient, StoreError};
pub use engine::Engine;
pub use feed::Feed;
pub use follow::{Follower, News};
pub use meters::Meters;
pub use run::{Inbox, Input, run};
pub use seeds::Seeds;
