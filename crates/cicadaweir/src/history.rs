//! Reading release notes back from the store.

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

/// Why the store's release notes can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The platform did not answer.
    Platform(PlatformError),
    /// A record does not decode, or does not fit the ones before it.
    Malformed {
        /// The key.
        key: String,
        /// What is wrong.
        why: String,
    },
}

impl Error {
    /// Returns the kind in the closed list.
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
            Self::Malformed { key, why } => write!(f, "{key}: {why}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<PlatformError> for Error {
    fn from(err: PlatformError) -> Self {
        Self::Platform(err)
    }
}

/// Reads the head and its version, 0 if there is none.
///
/// # Errors
///
/// [`Error`] if the platform does not answer or the head does not decode.
pub fn head(platform: &impl Platform) -> Result<(u64, Head), Error> {
    let Some(found) = platform.get(HEAD_KEY)? else {
        return Ok((0, Head::default()));
    };
    let head = serde_json::from_slice(&found.value).map_err(|err| Error::Malformed {
        key: HEAD_KEY.to_owned(),
        why: err.to_string(),
    })?;
    Ok((found.version, head))
}

/// Reads one release note.
///
/// # Errors
///
/// [`Error`] if the platform does not answer or the note does not decode.
pub fn release_note(platform: &impl Platform, name: &str) -> Result<ReleaseNote, Error> {
    let key = note_key(name);
    let malformed = |why: String| Error::Malformed {
        key: key.clone(),
        why,
    };
    let found = platform
        .get(&key)?
        .ok_or_else(|| malformed("does not exist".to_owned()))?;
    note::from_json(&found.value).map_err(|err| malformed(err.to_string()))
}

/// Reads the notes after a revision, oldest first, as far as the head names
/// them.
///
/// # Errors
///
/// [`Error`] if the platform does not answer or a note does not decode.
pub fn notes_after(
    platform: &impl Platform,
    head: &Head,
    after: Revision,
) -> Result<Vec<ReleaseNote>, Error> {
    (after.0 + 1..=head.revision)
        .filter_map(|revision| head.note_of(Revision(revision)))
        .map(|name| release_note(platform, name))
        .collect()
}

/// Starts from the head's snapshot, if it names one, and replays the notes
/// after it.
///
/// # Errors
///
/// [`Error`] if the platform does not answer, or a note does not decode or
/// does not fit.
pub fn catalog(platform: &impl Platform, head: &Head) -> Result<Catalog, Error> {
    let mut catalog = match &head.snapshot {
        Some(snapshot) => from_snapshot(platform, snapshot)?,
        None => Catalog::new(placement::Options::default()),
    };
    let forgotten = head.revision.saturating_sub(head.notes.len() as u64);
    if forgotten > catalog.revision().0 {
        return Err(Error::Malformed {
            key: HEAD_KEY.to_owned(),
            why: format!("it no longer names the first {forgotten} release notes"),
        });
    }
    for release in notes_after(platform, head, catalog.revision())? {
        catalog.apply(&release).map_err(|err| Error::Malformed {
            key: note_key(&release.id.to_string()),
            why: err.to_string(),
        })?;
        catalog.supersede(release.revision, wall_clock(release.published_ms));
    }
    Ok(catalog)
}

/// Returns a time in milliseconds since 1970 as a point on the clock that the
/// tool's catalogs go by.
pub const fn wall_clock(ms: u64) -> Instant {
    Instant::from_micros(ms.saturating_mul(1_000))
}

fn from_snapshot(platform: &impl Platform, snapshot: &SnapshotRef) -> Result<Catalog, Error> {
    let parts = read_snapshot(platform, snapshot)?;
    let options = placement::Options::default();
    let written = wall_clock(snapshot.written_ms);
    Catalog::from_parts(&parts, options, written).map_err(|_| Error::Malformed {
        key: snapshot_key(snapshot, 0),
        why: "its parts do not make a catalog".to_owned(),
    })
}
