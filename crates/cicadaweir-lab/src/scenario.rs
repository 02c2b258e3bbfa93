//! Scenarios: a deployment, its load and its faults.

mod deployment;
mod load;
mod set;

pub use deployment::Deployment;
pub use load::Load;
pub use set::{Scenario, all};
