//! Keys and records in the platform's key-value service.
//!
//! | key | value |
//! |---|---|
//! | [`HEAD_KEY`] | a [`Head`], changed by compare-and-swap |
//! | [`note_key`] | one release note in JSON, written before the head names it |
//! | [`snapshot_key`] | a JSON array of parts of the catalog at one revision |
//!
//! A note is written under its own identity, so that two publishers never
//! write one key; the head alone decides which note made a revision. The head
//! names the last [`RECENT_NOTES`] notes, so that one read of it tells a
//! daemon what it has missed.

use cicadaweir_core::catalog::{NoteId, Revision};
use serde::{Deserialize, Serialize};

/// The key of the head record.
pub const HEAD_KEY: &str = "cicadaweir/head";

/// How many notes the head names; with 35 bytes each it stays below 600 KB.
pub const RECENT_NOTES: usize = 16_384;

/// The record that names the newest release note.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest revision.
    pub revision: u64,
    /// The identities of the last notes, the newest last.
    pub notes: Vec<String>,
    /// The snapshot to start from, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotRef>,
}

/// Where a snapshot of the catalog lies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRef {
    /// The revision of the catalog.
    pub revision: u64,
    /// The identity of the note that made it; part of the keys.
    pub note: String,
    /// When it was written, in milliseconds since 1970.
    pub written_ms: u64,
    /// The number of values, each a JSON array of parts below 1 MB.
    pub values: u32,
}

impl Head {
    /// Returns the identity of the note that made a revision, if the head
    /// still names it.
    pub fn note_of(&self, revision: Revision) -> Option<&str> {
        let back = self.revision.checked_sub(revision.0)? as usize;
        let at = self.notes.len().checked_sub(back + 1)?;
        self.notes.get(at).map(String::as_str)
    }

    /// Returns the revision that a note made, if the head still names it.
    pub fn revision_of(&self, note: NoteId) -> Option<Revision> {
        let name = note.to_string();
        let at = self.notes.iter().rposition(|n| *n == name)?;
        let back = self.notes.len() - 1 - at;
        Some(Revision(self.revision - back as u64))
    }

    /// Returns the head that follows when a note is accepted.
    pub fn with(&self, note: NoteId) -> Self {
        let mut notes = self.notes.clone();
        notes.push(note.to_string());
        let surplus = notes.len().saturating_sub(RECENT_NOTES);
        notes.drain(..surplus);
        Self {
            revision: self.revision + 1,
            notes,
            snapshot: self.snapshot.clone(),
        }
    }
}

/// Returns the key of one value of a snapshot.
pub fn snapshot_key(snapshot: &SnapshotRef, value: u32) -> String {
    format!("cicadaweir/snapshots/{}/{value}", snapshot.note)
}

/// Returns the key of a note.
pub fn note_key(note: &str) -> String {
    format!("cicadaweir/notes/{note}")
}
