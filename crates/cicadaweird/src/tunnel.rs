//! Geneve (RFC 8926) and the IP packet inside.

mod geneve;
mod inner;
mod reset;

pub use geneve::{HEADER_BYTES, decapsulate, encapsulate};
pub use inner::{Inner, read};
pub use reset::reset_towards_caller;
