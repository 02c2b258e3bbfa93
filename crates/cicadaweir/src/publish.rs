//! Making a release note the newest one.
//!
//! The note is written under its own identity first; a compare-and-swap of
//! the head then decides. An answer that is lost is resolved by reading the
//! head back and looking for the identity, so that no note is accepted twice
//! and none is reported lost that was accepted.

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

/// What is published and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The release note file.
    pub file: NoteFile,
    /// The identity of the note.
    pub id: NoteId,
    /// The time of publication in milliseconds since 1970.
    pub now_ms: u64,
    /// A snapshot of the catalog is written every so many notes.
    pub snapshot_every: u64,
    /// How often an unanswered write is resolved and tried again.
    pub tries: u32,
    /// The pause between two tries.
    pub pause: Duration,
}

/// The accepted note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The revision that it made.
    pub revision: Revision,
    /// Its identity.
    pub id: NoteId,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            file: NoteFile::default(),
            id: NoteId(0),
            now_ms: 0,
            snapshot_every: 64,
            tries: 6,
            pause: Duration::from_millis(300),
        }
    }
}

/// Returns the time in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// Publishes a release note.
///
/// # Errors
///
/// [`Error`] if the note is invalid, builds on an old revision, lost a race,
/// or the platform does not answer.
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
    let mut next = head.with_note(options.id);
    if snapshot::is_due(&next, options.snapshot_every) {
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

/// Writes the note's own record; a record that is there already is the one
/// of an earlier try.
fn write_note(
    platform: &impl Platform,
    options: &Options,
    release: &ReleaseNote,
) -> Result<(), Error> {
    let key = note_key(&options.id.to_string());
    let value = note::to_json(release);
    let mut last = None;
    for _ in 0..options.tries {
        match platform.swap(&key, 0, &value) {
            Ok(Swap::Written(_)) => return Ok(()),
            Ok(Swap::Conflict) => return replace_note(platform, &key, &value),
            Err(err) => last = Some(err),
        }
        thread::sleep(options.pause);
    }
    Err(Error::History(last.map_or_else(
        || history::Error::Malformed {
            key,
            why: "no try was allowed".to_owned(),
        },
        history::Error::Platform,
    )))
}

/// Replaces the record of an earlier try that never became the head.
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
            why: err.to_string(),
        })
    })?;
    let mut last = None;
    for _ in 0..options.tries {
        match platform.swap(HEAD_KEY, version, &value) {
            Ok(Swap::Written(_)) => return Ok(accepted(options, Revision(next.revision))),
            Ok(Swap::Conflict) => return resolve(platform, options, head),
            Err(err) => last = Some(err),
        }
        thread::sleep(options.pause);
    }
    Err(Error::Unresolved {
        id: options.id,
        why: last.map(|err| err.to_string()).unwrap_or_default(),
    })
}

/// The head has changed: by this note, whose answer was lost, or by another.
fn resolve(platform: &impl Platform, options: &Options, before: &Head) -> Result<Outcome, Error> {
    let (_, head) = history::head(platform)?;
    match head.revision_of(options.id) {
        Some(revision) => Ok(accepted(options, revision)),
        None => Err(conflict(platform, &head, Revision(before.revision))),
    }
}

fn conflict(platform: &impl Platform, head: &Head, base: Revision) -> Error {
    let notes = history::notes_after(platform, head, base);
    let changed = notes.map(|notes| {
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
        changed: changed.unwrap_or_default(),
    }
}

/// Describes a change in one line.
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
