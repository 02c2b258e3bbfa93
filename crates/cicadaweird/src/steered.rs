//! The daemon for packets that name their target in a cookie.
//!
//! One thread runs the event loop with the packet socket and the
//! [`cicadaweir_core::steer::Steering`]. Following the store, the feed, the HTTP
//! endpoints and log output run on threads of their own.
//!
//! | item | purpose |
//! |---|---|
//! | [`Engine`] | handles packets and store updates; writes log lines and metrics |
//! | [`Follower`] | follows the store or another entry VM, on its own thread |
//! | [`Feed`] | serves this entry VM's copy of the store to other entry VMs |
//! | [`StoreClient`], [`FeedClient`] | HTTP clients of the store and of other entry VMs' feeds |
//! | [`endpoint`] | serves readiness and metrics over HTTP |
//! | [`Meters`] | metrics |

mod changes;
mod client;
pub mod endpoint;
mod engine;
mod feed;
mod follow;
mod meters;
mod run;
mod seeds;

pub use changes::{Rejection, RejectionKind, decode_change};
pub use client::{
    FeedClient, FeedResponse, FeedWatch, StoreAnswer, StoreClient, StoreError, Timeouts,
};
pub use engine::Engine;
pub use feed::Feed;
pub use follow::{Follower, StoreUpdate};
pub use meters::Meters;
pub use run::{Inbox, Input, run};
pub use seeds::Seeds;
