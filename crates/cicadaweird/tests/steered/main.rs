//! The daemon for packets that name their target, as real processes against a
//! small store.

mod feed;
mod packets;
mod stops;
mod store;

/// The daemon.
const PROGRAM: &str = env!("CARGO_BIN_EXE_cicadaweird");
