//! Encoding of messages between entry VMs in packed Cap'n Proto.

mod decode;
mod encode;
mod error;

pub use decode::decode;
pub use encode::encode;
pub use error::CodecError;

/// The version of the peer protocol that this build supports.
pub const VERSION: u16 = 1;
