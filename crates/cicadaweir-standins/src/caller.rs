//! A pool of callers, each with one flow.

mod flow;
mod pool;
mod tally;

pub use flow::{CallerFlow, FlowEnd, FlowPlan};
pub use pool::CallerPool;
pub use tally::Tally;
