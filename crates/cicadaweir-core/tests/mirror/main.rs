//! Following the store.

mod copy;
mod log;
mod sources;
