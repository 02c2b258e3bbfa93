//! Reading of release notes and snapshots from the store.

use std::fmt;

use cicadaweir_core::{
    catalog::{Catalog, ReleaseNote, Revision},
    error::ErrorKind,
    placement,
    time::Instant,
};
use cicadaweir_proto::{
    note,
    store::{HEAD_KEY, Head, SnapshotRef, note_key, snapshot_key},
};
use cicadaweird::platform::{Platform, PlatformError, read_snapshot};

/// The release notes in the store cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The platform did not answer.
    Platform(PlatformError),
    /// A record cannot be decoded, or is inconsistent with earlier ones.
    Malformed {
        /// The key.
        key: String,
        /// A description of the error.
        reason: String,
    },
}

impl Error {
    /// Returns the kind of the error.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Platform(_) => ErrorKind::StoreUnavailable,
            Self::Malformed { .. } => ErrorKind::StoreMalformed,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(err) => err.fmt(f),
            Self::Malformed { key, reason } => write!(f, "{key}: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<PlatformError> for Error {
    fn from(err: PlatformError) -> Self {
        Self::Platform(err)
    }
}

/// Reads the head with its version. Returns version 0 and an empty head if none
/// exists yet.
///
/// # Errors
///
/// [`Error`] if the platform does not answer or the head cannot be decoded.
pub fn head(platform: &impl Platform) -> Result<(u64, Head), Error> {
    let Some(found) = platform.get(HEAD_KEY)? else {
        return Ok((0, Head::default()));
    };
    let head = serde_json::from_slice(&found.value).map_err(|err| Error::Malformed {
        key: HEAD_KEY.to_owned(),
        reason: err.to_string(),
    })?;
    Ok((found.version, head))
}

/// Reads the release note with an ID.
///
/// # Errors
///
/// [`Error`] if the platform does not answer or the note cannot be decoded.
pub fn release_note(platform: &impl Platform, id: &str) -> Result<ReleaseNote, Error> {
    let key = note_key(id);
    let malformed = |reason: String| Error::Malformed {
        key: key.clone(),
        reason,
    };
    let found = platform
        .get(&key)?
        .ok_or_else(|| malformed("key does not exist".to_owned()))?;
    note::from_json(&found.value).map_err(|err| malformed(err.to_string()))
}

/// Reads the notes after a revision, oldest first. Omits notes that the head no
/// longer lists.
///
/// # Errors
///
/// [`Error`] if the platform does not answer or a note cannot be decoded.
pub fn notes_after(
    platform: &impl Platform,
    head: &Head,
    after: Revision,
) -> Result<Vec<ReleaseNote>, Error> {
    (after.0 + 1..=head.revision)
        .filter_map(|revision| head.note_of(Revision(revision)))
        .map(|id| release_note(platform, id))
        .collect()
}

/// Returns the catalog at the revision of the head: loads the snapshot, if there
/// is one, and applies the notes after it.
///
/// # Errors
///
/// [`Error`] if the platform does not answer, or if the snapshot or a note is
/// malformed or missing.
pub fn catalog(platform: &impl Platform, head: &Head) -> Result<Catalog, Error> {
    let mut catalog = match &head.snapshot {
        Some(snapshot) => catalog_from_snapshot(platform, snapshot)?,
        None => Catalog::new(placement::Options::default()),
    };
    let unlisted = head.revision.saturating_sub(head.notes.len() as u64);
    if unlisted > catalog.revision().0 {
        return Err(Error::Malformed {
            key: HEAD_KEY.to_owned(),
            reason: format!(
                "the first {unlisted} release notes are no longer listed, and no snapshot contains all of them"
            ),
        });
    }
    for release in notes_after(platform, head, catalog.revision())? {
        catalog.apply(&release).map_err(|err| Error::Malformed {
            key: note_key(&release.id.to_string()),
            reason: err.to_string(),
        })?;
        catalog.supersede(release.revision, instant_from_unix_ms(release.published_ms));
    }
    Ok(catalog)
}

/// Converts milliseconds since the Unix epoch to the clock of the tool's catalogs,
/// which starts at the epoch.
pub const fn instant_from_unix_ms(ms: u64) -> Instant {
    Instant::from_micros(ms.saturating_mul(1_000))
}

fn catalog_from_snapshot(
    platform: &impl Platform,
    snapshot: &SnapshotRef,
) -> Result<Catalog, Error> {
    let parts = read_snapshot(platform, snapshot)?;
    let options = placement::Options::default();
    let written = instant_from_unix_ms(snapshot.written_ms);
    Catalog::from_parts(&parts, options, written).map_err(|_| Error::Malformed {
        key: snapshot_key(snapshot, 0),
        reason: "the parts of the snapshot are inconsistent".to_owned(),
    })
}
