//! Errors of publishing a release note.

use std::fmt;

use cicadaweir_core::{
    catalog::{NoteError, NoteId, Revision},
    error::ErrorKind,
};
use cicadaweir_proto::note::FileError;

use crate::history;

/// A release note was not published, or its state is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The release note file is invalid.
    File(FileError),
    /// The note is invalid for the newest catalog.
    Note(NoteError),
    /// The store cannot be read or written.
    History(history::Error),
    /// The note is not based on the newest revision.
    Conflict {
        /// The revision on which the note is based.
        base: Revision,
        /// The newest revision.
        newest: Revision,
        /// Descriptions of the changes after the base.
        changes: Vec<String>,
    },
    /// The platform stopped answering, so it is unknown whether the note was
    /// accepted.
    Unresolved {
        /// The ID to publish the note again with.
        id: NoteId,
        /// The last error of the platform.
        reason: String,
    },
}

impl Error {
    /// Returns the kind of the error.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::File(_) => ErrorKind::NoteInvalid,
            Self::Note(err) => err.kind(),
            Self::History(err) => err.kind(),
            Self::Conflict { .. } => ErrorKind::NoteConflict,
            Self::Unresolved { .. } => ErrorKind::StoreUnavailable,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(err) => err.fmt(f),
            Self::Note(err) => err.fmt(f),
            Self::History(err) => err.fmt(f),
            Self::Conflict {
                base,
                newest,
                changes,
            } => {
                write!(
                    f,
                    "release note is based on revision {base}, but the newest revision is {newest}; changes since:"
                )?;
                changes.iter().try_for_each(|line| write!(f, "\n  {line}"))
            }
            Self::Unresolved { id, reason } => write!(
                f,
                "unknown whether the release note was accepted ({reason}); publish it again with --id {id}"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<history::Error> for Error {
    fn from(err: history::Error) -> Self {
        Self::History(err)
    }
}
