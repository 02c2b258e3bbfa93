//! Following the store and the list on threads of their own.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use cicadaweir_core::catalog::{Part, Revision};
use cicadaweir_proto::{
    note,
    store::{HEAD_KEY, Head, SnapshotRef, note_key, snapshot_key},
};
use log::{info, warn};

use crate::inbox::{Inbox, Input};

use super::{Platform, PlatformError};

/// How long one watch of the head waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The pause between two looks at whether to follow at all.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// The pause between two reads of the list while no other member is known.
const LIST_PAUSE_ALONE: Duration = Duration::from_millis(500);

/// The pause between two reads of the list.
const LIST_PAUSE: Duration = Duration::from_secs(2);

/// What the loop tells the following threads.
#[derive(Debug, Default)]
pub struct Shared {
    /// The newest revision that the core knows.
    pub known: AtomicU64,
    /// Whether this daemon watches the store.
    pub watching: AtomicBool,
    /// Whether other members are known.
    pub has_peers: AtomicBool,
    /// Whether the loop has ended.
    pub ended: AtomicBool,
}

impl Shared {
    fn runs(&self) -> bool {
        !self.ended.load(Ordering::Relaxed)
    }
}

/// Follows the head of the store while this daemon is a watcher, and hands
/// every new release note to the loop in order.
pub fn follow_store(platform: impl Platform, shared: &Arc<Shared>, inbox: &Inbox) {
    let mut version = 0;
    while shared.runs() {
        if !shared.watching.load(Ordering::Relaxed) {
            thread::sleep(IDLE_PAUSE);
            continue;
        }
        match follow_once(&platform, version, shared, inbox) {
            Ok(next) => version = next,
            Err(err) => {
                warn!(kind = "store_unavailable"; "{err}");
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

fn follow_once(
    platform: &impl Platform,
    version: u64,
    shared: &Shared,
    inbox: &Inbox,
) -> Result<u64, PlatformError> {
    let Some(found) = platform.watch(HEAD_KEY, version, WATCH_WAIT)? else {
        thread::sleep(IDLE_PAUSE);
        return Ok(version);
    };
    let head: Head = serde_json::from_slice(&found.value)
        .map_err(|err| PlatformError::Malformed(err.to_string()))?;
    let mut known = shared.known.load(Ordering::Relaxed);
    if let Some(snapshot) = head.snapshot.as_ref().filter(|_| known == 0) {
        fetch_snapshot(platform, snapshot, inbox)?;
        known = snapshot.revision;
    }
    for revision in known + 1..=head.revision {
        let Some(name) = head.note_of(Revision(revision)) else {
            info!(revision = revision; "the head no longer names the note; a peer has to bring it");
            break;
        };
        fetch_note(platform, name, inbox)?;
    }
    Ok(found.version)
}

/// Reads a snapshot, so that a newcomer replays only what came after it.
fn fetch_snapshot(
    platform: &impl Platform,
    snapshot: &SnapshotRef,
    inbox: &Inbox,
) -> Result<(), PlatformError> {
    let parts = read_snapshot(platform, snapshot)?;
    inbox.send(Input::Snapshot(parts));
    Ok(())
}

/// Reads all parts of a snapshot.
///
/// # Errors
///
/// [`PlatformError`] if the service does not answer or a value does not
/// decode.
pub fn read_snapshot(
    platform: &impl Platform,
    snapshot: &SnapshotRef,
) -> Result<Vec<Part>, PlatformError> {
    let mut parts = Vec::new();
    for value in 0..snapshot.values {
        let key = snapshot_key(snapshot, value);
        let malformed = |why: String| PlatformError::Malformed(format!("{key}: {why}"));
        let found = platform
            .get(&key)?
            .ok_or_else(|| malformed("does not exist".to_owned()))?;
        let records: Vec<Box<serde_json::value::RawValue>> =
            serde_json::from_slice(&found.value).map_err(|err| malformed(err.to_string()))?;
        for record in records {
            let part = note::part_from_json(record.get().as_bytes());
            parts.push(part.map_err(|err| malformed(err.to_string()))?);
        }
    }
    Ok(parts)
}

fn fetch_note(platform: &impl Platform, name: &str, inbox: &Inbox) -> Result<(), PlatformError> {
    let key = note_key(name);
    let found = platform
        .get(&key)?
        .ok_or_else(|| PlatformError::Malformed(format!("{key} does not exist")))?;
    let note = note::from_json(&found.value)
        .map_err(|err| PlatformError::Malformed(format!("{key}: {err}")))?;
    inbox.send(Input::Note(Arc::new(note)));
    Ok(())
}

/// Reads the membership list again and again: often while this daemon knows
/// no other, then only if it is a watcher.
pub fn follow_list(platform: impl Platform, shared: &Arc<Shared>, inbox: &Inbox) {
    while shared.runs() {
        let alone = !shared.has_peers.load(Ordering::Relaxed);
        if alone || shared.watching.load(Ordering::Relaxed) {
            match platform.members() {
                Ok(list) => {
                    let entries = list.iter().map(Into::into).collect();
                    inbox.send(Input::List(entries));
                }
                Err(err) => warn!(kind = "store_unavailable"; "membership list: {err}"),
            }
        }
        thread::sleep(if alone { LIST_PAUSE_ALONE } else { LIST_PAUSE });
    }
}
