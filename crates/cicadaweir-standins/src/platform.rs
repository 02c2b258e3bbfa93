//! The platform's key-value service and membership list, over HTTP.

mod faults;
mod kv;
mod server;

pub use faults::Faults;
pub use kv::{Kv, PutResult};
pub use server::{Counts, PlatformServer};
