//! Keys and records in the platform's key-value service.
//!
//! | key | value |
//! |---|---|
//! | [`HEAD_KEY`] | a [`Head`], changed by compare-and-swap |
//! | [`note_key`] | a release note in JSON, written before the head refers to it |
//! | [`snapshot_key`] | a JSON array of parts of the catalog at a revision |
//!
//! The key of a note contains its ID, so that two publishers never write the same
//! key; only the head decides which note made a revision. The head lists the last
//! [`RECENT_NOTES`] notes, so that a daemon finds all notes that it has missed
//! with one read of the head.

use cicadaweir_core::catalog::{NoteId, Revision};
use serde::{Deserialize, Serialize};

/// The key of the head record.
pub const HEAD_KEY: &str = "cicadaweir/head";

/// The maximum number of notes listed in the head. At 35 bytes each the head stays
/// below 600 KB.
pub const RECENT_NOTES: usize = 16_384;

/// The record that lists the newest release notes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest revision.
    pub revision: u64,
    /// The IDs of the last notes, newest last.
    pub notes: Vec<String>,
    /// The latest snapshot, or `None` if none has been written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotRef>,
}

/// The location of a snapshot of the catalog.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRef {
    /// The revision of the catalog.
    pub revision: u64,
    /// The ID of the note that made that revision; part of the snapshot's keys.
    pub note: String,
    /// The time of writing, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The number of values, each a JSON array of parts below 1 MB.
    pub values: u32,
}

impl Head {
    /// Returns the ID of the note that made a revision, or `None` if the head
    /// does not list it.
    pub fn note_of(&self, revision: Revision) -> Option<&str> {
        let age = self.revision.checked_sub(revision.0)? as usize;
        let index = self.notes.len().checked_sub(age + 1)?;
        self.notes.get(index).map(String::as_str)
    }

    /// Returns the revision that a note made, or `None` if the head does not list
    /// the note.
    pub fn revision_of(&self, note: NoteId) -> Option<Revision> {
        let id = note.to_string();
        let index = self.notes.iter().rposition(|n| *n == id)?;
        let age = self.notes.len() - 1 - index;
        Some(Revision(self.revision - age as u64))
    }

    /// Returns the head after a note is accepted.
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

/// Returns the key of a value of a snapshot; values are numbered from 0.
pub fn snapshot_key(snapshot: &SnapshotRef, value: u32) -> String {
    format!("cicadaweir/snapshots/{}/{value}", snapshot.note)
}

/// Returns the key of the note with an ID.
pub fn note_key(note: &str) -> String {
    format!("cicadaweir/notes/{note}")
}
