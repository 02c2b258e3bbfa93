//! Geneve (RFC 8926) headers and the inner IP packet.

mod geneve;
mod inner;
mod reset;

pub use geneve::{HEADER_BYTES, decapsulate, encapsulate};
pub use inner::{InnerPacket, parse};
pub use reset::reset_towards_caller;
