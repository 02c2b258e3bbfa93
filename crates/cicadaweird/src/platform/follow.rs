//! Threads that follow the store and the membership list.

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

/// How long one watch of the store's head waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The interval at which an idle thread checks whether to watch the store; also
/// the delay before a missing head is read again.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between two reads of the membership list while no other member
/// is known.
const LIST_INTERVAL_ALONE: Duration = Duration::from_millis(500);

/// The interval between two reads of the membership list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// State that the event loop shares with the threads that follow the platform.
#[derive(Debug, Default)]
pub struct Shared {
    /// The newest revision in the core's catalog.
    pub known: AtomicU64,
    /// Whether the core has selected this daemon to watch the store.
    pub watching: AtomicBool,
    /// Whether the core knows other members.
    pub has_peers: AtomicBool,
    /// Whether the event loop has ended.
    pub ended: AtomicBool,
}

impl Shared {
    fn is_running(&self) -> bool {
        !self.ended.load(Ordering::Relaxed)
    }
}

/// Watches the head of the store while `shared.watching` is set, and sends new
/// release notes to the event loop in the order of their revisions. Returns when
/// the event loop has ended.
pub fn follow_store(platform: impl Platform, shared: &Arc<Shared>, inbox: &Inbox) {
    let mut version = 0;
    while shared.is_running() {
        if !shared.watching.load(Ordering::Relaxed) {
            thread::sleep(IDLE_INTERVAL);
            continue;
        }
        match fetch_updates(&platform, version, shared, inbox) {
            Ok(next) => version = next,
            Err(err) => {
                warn!(kind = err.kind(); "{err}");
                thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Waits for a head of the store above `version`, for at most [`WATCH_TIMEOUT`], and
/// sends the release notes that the core lacks. Returns the head's version for the
/// next call.
fn fetch_updates(
    platform: &impl Platform,
    version: u64,
    shared: &Shared,
    inbox: &Inbox,
) -> Result<u64, PlatformError> {
    let Some(found) = platform.watch(HEAD_KEY, version, WATCH_TIMEOUT)? else {
        thread::sleep(IDLE_INTERVAL);
        return Ok(version);
    };
    let head: Head = serde_json::from_slice(&found.value)
        .map_err(|err| PlatformError::Malformed(err.to_string()))?;
    let mut known = shared.known.load(Ordering::Relaxed);
    if let Some(snapshot) = head.snapshot.as_ref().filter(|_| known == 0) {
        send_snapshot(platform, snapshot, inbox)?;
        known = snapshot.revision;
    }
    for revision in known + 1..=head.revision {
        let Some(name) = head.note_of(Revision(revision)) else {
            info!(revision = revision; "store head no longer lists this note; waiting for a peer to send it");
            break;
        };
        send_note(platform, name, inbox)?;
    }
    Ok(found.version)
}

/// Sends a snapshot to the event loop, so that a daemon that joins replays only
/// the release notes after it.
fn send_snapshot(
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
/// Returns [`PlatformError`] if the service does not answer, or a value is
/// missing or cannot be decoded.
pub fn read_snapshot(
    platform: &impl Platform,
    snapshot: &SnapshotRef,
) -> Result<Vec<Part>, PlatformError> {
    let mut parts = Vec::new();
    for value in 0..snapshot.values {
        let key = snapshot_key(snapshot, value);
        let malformed = |reason: String| PlatformError::Malformed(format!("{key}: {reason}"));
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

fn send_note(platform: &impl Platform, name: &str, inbox: &Inbox) -> Result<(), PlatformError> {
    let key = note_key(name);
    let found = platform
        .get(&key)?
        .ok_or_else(|| PlatformError::Malformed(format!("{key} does not exist")))?;
    let note = note::from_json(&found.value)
        .map_err(|err| PlatformError::Malformed(format!("{key}: {err}")))?;
    inbox.send(Input::Note(Arc::new(note)));
    Ok(())
}

/// Reads the membership list periodically: at a short interval while no other
/// member is known, after that only while `shared.watching` is set. Returns when
/// the event loop has ended.
pub fn follow_list(platform: impl Platform, shared: &Arc<Shared>, inbox: &Inbox) {
    while shared.is_running() {
        let alone = !shared.has_peers.load(Ordering::Relaxed);
        if alone || shared.watching.load(Ordering::Relaxed) {
            match platform.members() {
                Ok(list) => {
                    let entries = list.iter().map(Into::into).collect();
                    inbox.send(Input::List(entries));
                }
                Err(err) => warn!(kind = err.kind(); "membership list: {err}"),
            }
        }
        thread::sleep(if alone {
            LIST_INTERVAL_ALONE
        } else {
            LIST_INTERVAL
        });
    }
}
