//! Following the store.

mod copy;
mod log;
mod reach;
mod sources;
