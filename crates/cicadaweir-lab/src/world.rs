//! Nodes, links, targets and callers in one queue of events.

mod caller;
mod callers;
mod changes;
mod dispatch;
mod event;
mod faults;
mod link;
mod options;
mod record;
mod run;
mod target;
mod targets;

pub use caller::{Caller, CallerKind, CallerState};
pub use event::SimEvent;
pub use faults::Fault;
pub use link::Links;
pub use options::{Options, ServiceOptions};
pub use run::World;
pub use target::{Behaviour, Target};
