//! A service with its live generations.

use indexmap::IndexMap;

use crate::placement::Generation;

use super::{AddressKey, Revision, TargetKey};

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The seed for hashing the service's buckets, derived from the name.
    pub seed: u64,
    /// The addresses to which callers connect.
    pub addresses: Vec<AddressKey>,
    /// The active (not withdrawn) targets, by name.
    pub targets: IndexMap<String, TargetKey>,
    /// The revision that withdrew the service, or `None` if it is active.
    pub withdrawn: Option<Revision>,
    /// The live generations, that is, those that may have open flows; oldest
    /// first, never empty.
    pub generations: Vec<Generation>,
    /// A bit set with one bit per bucket: set if flows of the bucket may be on
    /// more than one target because of its generations or marks.
    pub(crate) ambiguous: Vec<u64>,
}

impl Service {
    /// Returns whether flows of a bucket may be on more than one target.
    pub fn is_ambiguous(&self, bucket: u16) -> bool {
        self.ambiguous[usize::from(bucket) / 64] >> (bucket % 64) & 1 == 1
    }

    /// Returns whether any bucket is ambiguous.
    pub fn has_ambiguity(&self) -> bool {
        self.ambiguous.iter().any(|&word| word != 0)
    }

    /// Returns the oldest live generation, which placed the flows that no flow
    /// table or list of exceptions contains.
    pub fn base(&self) -> &Generation {
        &self.generations[0]
    }

    /// Returns the newest generation with at most the given revision, or the
    /// oldest live one if there is none.
    pub fn in_force(&self, revision: Revision) -> &Generation {
        self.generations
            .iter()
            .rev()
            .find(|g| g.revision <= revision)
            .unwrap_or(&self.generations[0])
    }
}
