//! Deployments, loads and faults.

mod deployment;
mod load;
mod set;

pub use deployment::Deployment;
pub use load::Load;
pub use set::{Scenario, all};
