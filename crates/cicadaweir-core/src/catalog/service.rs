//! One service with its live generations.

use indexmap::IndexMap;

use crate::placement::Generation;

use super::{AddressKey, Revision, TargetKey};

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The keyed-hash seed of its buckets, derived from the name.
    pub seed: u64,
    /// The addresses.
    pub addresses: Vec<AddressKey>,
    /// The targets that are not withdrawn, by name.
    pub targets: IndexMap<String, TargetKey>,
    /// The revision that withdrew it, if any.
    pub withdrawn: Option<Revision>,
    /// The generations that flows may be open in, oldest first; never empty.
    pub generations: Vec<Generation>,
    /// One bit a bucket: the generations or marks leave more than one target.
    pub(crate) ambiguous: Vec<u64>,
}

impl Service {
    /// Returns whether a bucket's flows may be on more than one target.
    pub fn is_ambiguous(&self, bucket: u16) -> bool {
        self.ambiguous[usize::from(bucket) / 64] >> (bucket % 64) & 1 == 1
    }

    /// Returns whether any bucket is ambiguous.
    pub fn has_ambiguity(&self) -> bool {
        self.ambiguous.iter().any(|&word| word != 0)
    }

    /// Returns the oldest live generation: a flow that nobody has recorded
    /// was placed by it.
    pub fn base(&self) -> &Generation {
        &self.generations[0]
    }

    /// Returns the newest generation that is in force at a revision, or the
    /// oldest live one.
    pub fn in_force(&self, revision: Revision) -> &Generation {
        self.generations
            .iter()
            .rev()
            .find(|g| g.revision <= revision)
            .unwrap_or(&self.generations[0])
    }
}
