//! A target with limited slots and connections, an application that answers
//! requests, and a load endpoint.

mod app;
mod options;
mod server;

pub use app::{App, Request};
pub use options::TargetOptions;
pub use server::TargetServer;
