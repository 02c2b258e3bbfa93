//! Services, addresses and targets, as release notes leave them.

mod apply;
mod error;
mod ids;
mod index;
mod note;
mod service;
mod snapshot;
mod target;

pub use error::NoteError;
pub use ids::{AddressKey, NoteId, Revision, ServiceKey, TargetKey, ZoneId};
pub use index::Catalog;
pub use note::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec};
pub use service::Service;
pub use snapshot::{Content, GenerationPart, InvalidSnapshot, Part, ServicePart, TargetPart};
pub use target::Target;

/// The most addresses of a catalog, withdrawn services' included; an entry
/// of the flow table holds an address in 16 bits.
pub const MAX_ADDRESSES: usize = 1 << 16;
