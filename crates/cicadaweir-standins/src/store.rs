//! A small key-value store with the HTTP interface of the users' platform and
//! injectable faults.

mod faults;
mod history;
mod server;

pub use faults::{Availability, StoreFaults};
pub use history::{Entry, History};
pub use server::{StoreCounts, StoreServer};
