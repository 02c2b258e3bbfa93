//! The admission unit.
//!
//! An opening of a flow and a request inside a flow are the same thing here: a
//! [`Unit`] with an identity, a deadline and a size class, which a
//! [`Dispatcher`] refuses, queues, or gives to one slot of one target. A unit
//! that is not idempotent is given to at most one target, once.

mod dispatcher;
mod outcome;
mod queue;
mod unit;

pub use dispatcher::{Dispatcher, Options};
pub use outcome::{Outcome, Settled};
pub use queue::Queue;
pub use unit::{SizeClass, Unit, UnitId};
