//! Publication of release notes.
//!
//! The note is written first, under a key that contains its ID. A compare-and-swap
//! of the head then accepts or rejects it. If the answer to the compare-and-swap is
//! lost, the head is read again and searched for the ID, so that a note is never
//! accepted twice, and an accepted note is never reported as rejected.

mod error;
mod snapshot;

use std::{
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cicadaweir_core::catalog::{Change, NoteId, ReleaseNote, Revision};
use cicadaweir_proto::{
    note::{self, NoteFile},
    store::{HEAD_KEY, Head, note_key},
};
use cicadaweird::platform::{Platform, Swap};

use crate::history;

pub use error::Error;

/// The release note to publish, and options of its publication.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The release note file.
    pub file: NoteFile,
    /// The ID of the note.
    pub id: NoteId,
    /// The publication time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// The number of notes after which a new snapshot of the catalog is written.
    pub notes_per_snapshot: u64,
    /// The maximum number of attempts of a write that gets no answer.
    pub max_attempts: u32,
    /// The delay between two attempts.
    pub retry_delay: Duration,
}

/// An accepted release note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The revision of the note.
    pub revision: Revision,
    /// The ID of the note.
    pub id: NoteId,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            file: NoteFile::default(),
            id: NoteId(0),
            now_ms: 0,
            notes_per_snapshot: 64,
            max_attempts: 6,
            retry_delay: Duration::from_millis(300),
        }
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// Publishes a release note. Publishing an accepted note again under the same ID
/// returns its revision.
///
/// # Errors
///
/// [`Error`] if the note is invalid or based on an old revision, if another note is
/// accepted at the same time, or if the platform does not answer.
pub fn publish(platform: &impl Platform, options: &Options) -> Result<Outcome, Error> {
    let changes = options.file.changes().map_err(Error::File)?;
    let (version, head) = history::head(platform)?;
    if let Some(revision) = head.revision_of(options.id) {
        return Ok(accepted(options, revision));
    }
    if let Some(base) = options.file.base.filter(|&base| base != head.revision) {
        return Err(conflict(platform, &head, Revision(base)));
    }
    let release = ReleaseNote {
        revision: Revision(head.revision + 1),
        id: options.id,
        published_ms: options.now_ms,
        changes,
    };
    let mut catalog = history::catalog(platform, &head)?;
    catalog.apply(&release).map_err(Error::Note)?;
    write_note(platform, options, &release)?;
    let mut next = head.with(options.id);
    if snapshot::is_due(&next, options.notes_per_snapshot) {
        next.snapshot = snapshot::write(platform, catalog, options.now_ms).or(next.snapshot);
    }
    swap_head(platform, options, version, &head, &next)
}

fn accepted(options: &Options, revision: Revision) -> Outcome {
    Outcome {
        revision,
        id: options.id,
    }
}

/// Writes the record of the note. An existing record comes from an earlier attempt
/// with the same ID.
fn write_note(
    platform: &impl Platform,
    options: &Options,
    release: &ReleaseNote,
) -> Result<(), Error> {
    let key = note_key(&options.id.to_string());
    let value = note::to_json(release);
    let mut last_error = None;
    for _ in 0..options.max_attempts {
        match platform.swap(&key, 0, &value) {
            Ok(Swap::Written(_)) => return Ok(()),
            Ok(Swap::Conflict) => return replace_note(platform, &key, &value),
            Err(err) => last_error = Some(err),
        }
        thread::sleep(options.retry_delay);
    }
    Err(Error::History(last_error.map_or_else(
        || history::Error::Malformed {
            key,
            reason: "not written: the maximum number of attempts is 0".to_owned(),
        },
        history::Error::Platform,
    )))
}

/// Replaces the record of an earlier attempt that the head does not list.
fn replace_note(platform: &impl Platform, key: &str, value: &[u8]) -> Result<(), Error> {
    let found = platform.get(key).map_err(history::Error::Platform)?;
    let version = found.as_ref().map_or(0, |f| f.version);
    if found.is_some_and(|f| f.value == value) {
        return Ok(());
    }
    platform
        .swap(key, version, value)
        .map_err(history::Error::Platform)?;
    Ok(())
}

fn swap_head(
    platform: &impl Platform,
    options: &Options,
    version: u64,
    head: &Head,
    next: &Head,
) -> Result<Outcome, Error> {
    let value = serde_json::to_vec(next).map_err(|err| {
        Error::History(history::Error::Malformed {
            key: HEAD_KEY.to_owned(),
            reason: err.to_string(),
        })
    })?;
    let mut last_error = None;
    for _ in 0..options.max_attempts {
        match platform.swap(HEAD_KEY, version, &value) {
            Ok(Swap::Written(_)) => return Ok(accepted(options, Revision(next.revision))),
            Ok(Swap::Conflict) => return resolve_conflict(platform, options, head),
            Err(err) => last_error = Some(err),
        }
        thread::sleep(options.retry_delay);
    }
    Err(Error::Unresolved {
        id: options.id,
        reason: last_error.map(|err| err.to_string()).unwrap_or_default(),
    })
}

/// Resolves a conflict at the head: the head has changed through this note, if the
/// answer to an earlier attempt was lost, or through another note.
fn resolve_conflict(
    platform: &impl Platform,
    options: &Options,
    before: &Head,
) -> Result<Outcome, Error> {
    let (_, head) = history::head(platform)?;
    match head.revision_of(options.id) {
        Some(revision) => Ok(accepted(options, revision)),
        None => Err(conflict(platform, &head, Revision(before.revision))),
    }
}

/// Returns a conflict error that lists the changes since the base.
fn conflict(platform: &impl Platform, head: &Head, base: Revision) -> Error {
    let notes = history::notes_after(platform, head, base);
    let changes = notes.map(|notes| {
        let lines = notes.iter().flat_map(|n| {
            let revision = n.revision;
            n.changes
                .iter()
                .map(move |c| format!("revision {revision}: {}", describe(c)))
        });
        lines.collect()
    });
    Error::Conflict {
        base,
        newest: Revision(head.revision),
        changes: changes.unwrap_or_default(),
    }
}

/// Returns a description of a change in one line.
pub fn describe(change: &Change) -> String {
    match change {
        Change::AddService(spec) => {
            format!(
                "adds service {} ({} targets)",
                spec.name,
                spec.targets.len()
            )
        }
        Change::WithdrawService { service } => format!("withdraws service {service}"),
        Change::AddTarget { service, target } => format!("adds target {service}/{}", target.name),
        Change::ChangeTarget { service, target } => {
            format!("changes target {service}/{}", target.name)
        }
        Change::WithdrawTarget { service, target } => {
            format!("withdraws target {service}/{target}")
        }
    }
}
