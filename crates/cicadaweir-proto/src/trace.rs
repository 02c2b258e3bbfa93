//! Traces: what one node was told, and what it did, in JSON lines.
//!
//! The first line is a [`Start`], each further one a [`Step`]: a time in
//! microseconds, one event, and the actions that followed, in the words of
//! [`describe`]. Ticks without actions are counted, not listed.
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
    EventRecord, HeaderRecord, KindRecord, PacketRecord, ProbeRecord, flow_text, parse_flow,
};
pub use replay::{Outcome, describe, replay};

/// The first line: who the node is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The member's number.
    pub member: u32,
    /// Its availability zone.
    pub zone: u16,
    /// Its first incarnation.
    pub incarnation: u64,
    /// The fleet's key, 32 hexadecimal digits.
    pub hash_key: String,
    /// Its peer address.
    pub peer: std::net::SocketAddr,
}

/// One event and what followed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time in microseconds; of several ticks, the last one's.
    pub at: u64,
    /// The event.
    pub event: EventRecord,
    /// The actions, in order.
    pub actions: Vec<String>,
}
