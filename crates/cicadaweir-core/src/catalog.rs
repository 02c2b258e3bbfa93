//! Services, addresses and targets, as release notes leave them.

mod apply;
mod error;
mod ids;
mod index;
mod note;
mod service;
mod target;

pub use error::NoteError;
pub use ids::{AddressKey, NoteId, Revision, ServiceKey, TargetKey, ZoneId};
pub use index::Catalog;
pub use note::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec};
pub use service::Service;
pub use target::Target;
