//! Release notes: the file that operators write, and the record that the
//! store keeps.

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

/// The tunnel port of a target that names none, the registered Geneve port.
pub const GENEVE_PORT: u16 = 6081;
