//! A small key-value store that speaks the platform's calls, with what can be
//! wrong with it.

mod faults;
mod history;
mod server;

pub use faults::{Availability, StoreFaults};
pub use history::{Entry, History};
pub use server::{StoreCounts, StoreServer};
