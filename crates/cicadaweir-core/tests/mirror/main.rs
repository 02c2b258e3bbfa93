//! Tests of the replica of the store.

mod copy;
mod log;
mod reach;
mod relay;
mod restart;
mod sources;
