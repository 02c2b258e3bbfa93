//! Release notes: the file that operators write, and the record in the store.
//!
//! A release note is an ordered list of configuration changes. Each accepted note
//! makes the next revision of the configuration.

mod address;
mod error;
mod file;
mod part;
mod record;

pub use address::{format_address, parse_address, parse_endpoint};
pub use error::FileError;
pub use file::{NoteFile, parse};
pub use part::{part_from_json, part_to_json};
pub use record::{from_json, to_json};

/// The default tunnel port of a target: the registered Geneve port.
pub const GENEVE_PORT: u16 = 6081;
