//! Errors of decoding peer messages.

use std::fmt;

use cicadaweir_core::error::ErrorKind;

/// A peer message cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The message has an unsupported protocol version.
    Version(u16),
    /// The bytes are not an envelope, or a field has an invalid value.
    Malformed(String),
}

impl CodecError {
    /// Returns the kind of the error.
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
                "unsupported peer protocol version {version}; expected {}",
                super::VERSION
            ),
            Self::Malformed(reason) => write!(f, "malformed peer message: {reason}"),
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
