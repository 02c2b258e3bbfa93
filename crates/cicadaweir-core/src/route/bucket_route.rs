//! What is known about a bucket when a packet of it arrives.

use crate::{
    catalog::{Revision, Service, TargetKey},
    membership::{MemberId, slot_of},
};

/// One bucket of one service, seen from one entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketRoute {
    /// The target of flows that nobody has recorded.
    pub base: TargetKey,
    /// The target of new flows.
    pub in_force: TargetKey,
    /// Whether flows may be on more than one target.
    pub ambiguous: bool,
    /// The slot that the bucket falls into.
    pub slot: u16,
    /// The owner of the slot, or its last owner while the members' views
    /// may differ.
    pub owner: Option<MemberId>,
}

impl BucketRoute {
    /// Looks at a bucket.
    pub fn new(
        service: &Service,
        bucket: u16,
        agreed: Revision,
        owner_of: impl FnOnce(u16) -> Option<MemberId>,
    ) -> Self {
        let slot = slot_of(service.seed, bucket);
        Self {
            base: service.base().target(bucket),
            in_force: service.in_force(agreed).target(bucket),
            ambiguous: service.is_ambiguous(bucket),
            slot,
            owner: owner_of(slot),
        }
    }
}
