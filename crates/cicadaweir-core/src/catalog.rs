//! The services, addresses and targets that result from applying release
//! notes in order of revision.

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

/// The maximum number of addresses in a catalog, including those of withdrawn
/// services. Flow table entries store an [`AddressKey`] in 16 bits.
pub const MAX_ADDRESSES: usize = 1 << 16;
