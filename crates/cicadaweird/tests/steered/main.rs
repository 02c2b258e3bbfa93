//! Tests of the daemon for packets that name their target in a cookie: real
//! processes against a store stand-in.

mod client;
mod feed;
mod packets;
mod stops;
mod store;

/// The path of the daemon's executable.
const PROGRAM: &str = env!("CARGO_BIN_EXE_cicadaweird");
