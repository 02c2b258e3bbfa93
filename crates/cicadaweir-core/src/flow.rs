//! Flows: their keys, states and the bounded flow table.

mod entry;
mod key;
mod state;
mod table;

pub use entry::{FlowEntry, FlowFlags};
pub use key::{Endpoint, FlowKey, Protocol};
pub use state::FlowState;
pub use table::{ExpiryOptions, FlowTable, TableFull};
