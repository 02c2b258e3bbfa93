//! Why a peer message does not decode.

use std::fmt;

use cicadaweir_core::error::ErrorKind;

/// Why a peer message does not decode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The sender speaks another version.
    Version(u16),
    /// The bytes are no envelope, or a field has a value that is not allowed.
    Malformed(String),
}

impl CodecError {
    /// Returns the kind in the closed list.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Version(_) => ErrorKind::PeerVersion,
            Self::Malformed(_) => ErrorKind::PeerMalformed,
        }
    }
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(
                f,
                "peer protocol version {version}; this build speaks {}",
                super::VERSION
            ),
            Self::Malformed(why) => write!(f, "malformed peer message: {why}"),
        }
    }
}

impl std::error::Error for CodecError {}

impl From<capnp::Error> for CodecError {
    fn from(err: capnp::Error) -> Self {
        Self::Malformed(err.to_string())
    }
}

impl From<capnp::NotInSchema> for CodecError {
    fn from(err: capnp::NotInSchema) -> Self {
        Self::Malformed(err.to_string())
    }
}
