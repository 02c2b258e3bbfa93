//! The platform's membership list.

use std::net::SocketAddr;

use cicadaweir_core::{
    catalog::ZoneId,
    membership::{ListEntry, MemberId},
};
use serde::{Deserialize, Serialize};

/// An entry of the list, as the platform serves it in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListRecord {
    /// The number of the entry VM.
    pub id: u32,
    /// The availability zone.
    pub zone: u16,
    /// The address of the peer socket.
    pub peer: SocketAddr,
    /// The address of the control endpoint, which the command-line tool uses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    /// Whether the platform is about to stop the entry VM.
    #[serde(default)]
    pub leaving: bool,
}

impl From<&ListRecord> for ListEntry {
    fn from(record: &ListRecord) -> Self {
        Self {
            id: MemberId(record.id),
            zone: ZoneId(record.zone),
            address: record.peer.into(),
        }
    }
}

impl From<&ListEntry> for ListRecord {
    fn from(entry: &ListEntry) -> Self {
        Self {
            id: entry.id.0,
            zone: entry.zone.0,
            peer: entry.address.into(),
            control: None,
            leaving: false,
        }
    }
}

/// Parses the list from JSON.
///
/// # Errors
///
/// The parser's error if the bytes are not a membership list.
pub fn from_json(bytes: &[u8]) -> Result<Vec<ListRecord>, serde_json::Error> {
    serde_json::from_slice(bytes)
}
