//! Why a release note was not published.

use std::fmt;

use cicadaweir_core::{
    catalog::{NoteError, NoteId, Revision},
    error::ErrorKind,
};
use cicadaweir_proto::note::FileError;

use crate::history;

/// Why a release note was not published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The file is wrong.
    File(FileError),
    /// The note does not fit what is in force.
    Note(NoteError),
    /// The store can't be read.
    History(history::Error),
    /// Another note came first.
    Conflict {
        /// The revision that the note builds on.
        base: Revision,
        /// The newest revision.
        newest: Revision,
        /// What has changed since.
        changed: Vec<String>,
    },
    /// The platform stopped answering: the note may or may not be accepted.
    Unresolved {
        /// The identity with which to try again.
        id: NoteId,
        /// The platform's last words.
        why: String,
    },
}

impl Error {
    /// Returns the kind in the closed list.
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
                changed,
            } => {
                write!(
                    f,
                    "the note builds on revision {base}, the newest is {newest}; since then:"
                )?;
                changed.iter().try_for_each(|line| write!(f, "\n  {line}"))
            }
            Self::Unresolved { id, why } => write!(
                f,
                "the note may or may not be accepted ({why}); publish it again with --id {id}"
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
