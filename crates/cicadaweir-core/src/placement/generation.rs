//! One generation of one service.

use std::{fmt, sync::Arc};

use crate::{
    catalog::{Revision, TargetKey},
    time::Instant,
};

/// The target of each bucket, as one release note leaves it.
#[derive(Clone, PartialEq, Eq)]
pub struct Generation {
    /// The release note's revision.
    pub revision: Revision,
    /// When this entry VM put a later generation into force, if it has.
    pub superseded: Option<Instant>,
    /// The targets of the generation with their weights, in name order.
    pub targets: Arc<[(TargetKey, u16)]>,
    /// The target of each bucket.
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
