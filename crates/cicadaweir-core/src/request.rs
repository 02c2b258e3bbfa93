//! Dispatching of units of work to the slots of targets.
//!
//! A [`Unit`] is an opening of a flow or a request within a flow, with an
//! identifier, a deadline and a size class. A [`Dispatcher`] refuses it, queues
//! it or starts it in a slot of a target. A unit that is not idempotent is
//! started at most once, on one target.

mod dispatcher;
mod outcome;
mod queue;
mod unit;

pub use dispatcher::{Dispatcher, Options};
pub use outcome::{Outcome, UnitUpdate};
pub use queue::Queue;
pub use unit::{SizeClass, Unit, UnitId};
