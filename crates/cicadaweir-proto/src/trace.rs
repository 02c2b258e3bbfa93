//! Traces: the input events of a node and its actions, in JSON lines.
//!
//! The first line is a [`Start`]; each further line is a [`Step`]: a time in
//! microseconds, an event, and the resulting actions in the format of
//! [`describe`]. Consecutive ticks without actions are combined into a count.
//!
//! ```json
//! {"member":0,"zone":0,"incarnation":1700000000001,"hash_key":"07...","peer":"10.1.0.0:7070"}
//! {"at":1234,"event":{"caller":{"flow":"tcp,100.0.0.1:1024,10.0.0.1:443","kind":"opening","sequence":0}},"actions":["forward t3"]}
//! {"at":2234,"event":{"ticks":12},"actions":[]}
//! ```

mod error;
mod event;
mod replay;

use serde::{Deserialize, Serialize};

pub use error::TraceError;
pub use event::{
    EventRecord, HeaderRecord, KindRecord, PacketRecord, ProbeRecord, format_flow, parse_flow,
};
pub use replay::{Outcome, describe, replay};

/// The first line of a trace: the identity of the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The number of the member.
    pub member: u32,
    /// The availability zone.
    pub zone: u16,
    /// The incarnation at the start.
    pub incarnation: u64,
    /// The fleet's hash key, as 32 hexadecimal digits.
    pub hash_key: String,
    /// The peer address.
    pub peer: std::net::SocketAddr,
}

/// An event and the resulting actions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time in microseconds; for several ticks, the time of the last tick.
    pub at: u64,
    /// The event.
    pub event: EventRecord,
    /// The actions, in order.
    pub actions: Vec<String>,
}
