//! Flows: their keys, their states and the bounded table that remembers them.

mod entry;
mod key;
mod state;
mod table;

pub use entry::{FlowEntry, FlowFlags};
pub use key::{Endpoint, FlowKey, Protocol};
pub use state::FlowState;
pub use table::{ExpiryOptions, FlowTable, TableFull};
