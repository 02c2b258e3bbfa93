//! The platform's membership list.

use std::net::SocketAddr;

use cicadaweir_core::{
    catalog::ZoneId,
    membership::{ListEntry, MemberId},
};
use serde::{Deserialize, Serialize};

/// One line of the list, as the platform serves it in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListRecord {
    /// The number of the entry VM.
    pub id: u32,
    /// Its availability zone.
    pub zone: u16,
    /// Where its peer socket listens.
    pub peer: SocketAddr,
    /// Where its control endpoint listens; the tool asks there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    /// Whether the platform is about to stop it.
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

/// Reads the list from JSON.
///
/// # Errors
///
/// The parser's error if the bytes are no list.
pub fn from_json(bytes: &[u8]) -> Result<Vec<ListRecord>, serde_json::Error> {
    serde_json::from_slice(bytes)
}
