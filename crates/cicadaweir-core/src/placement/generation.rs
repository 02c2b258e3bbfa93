//! The bucket table of a service at one revision.

use std::{fmt, sync::Arc};

use crate::{
    catalog::{Revision, TargetKey},
    time::Instant,
};

/// The assignment of a service's buckets to targets that results from one
/// release note.
#[derive(Clone, PartialEq, Eq)]
pub struct Generation {
    /// The revision of the release note.
    pub revision: Revision,
    /// The time at which a later generation came into force on this entry VM,
    /// or `None` if none has.
    pub superseded: Option<Instant>,
    /// The targets with their weights, in order of target names.
    pub targets: Arc<[(TargetKey, u16)]>,
    /// The target of each bucket, indexed by bucket number.
    pub table: Arc<[TargetKey]>,
}

impl fmt::Debug for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Generation")
            .field("revision", &self.revision)
            .field("superseded", &self.superseded)
            .field("targets", &self.targets)
            .finish_non_exhaustive()
    }
}

impl Generation {
    /// Returns the target of a bucket.
    pub fn target(&self, bucket: u16) -> TargetKey {
        self.table[usize::from(bucket)]
    }
}
