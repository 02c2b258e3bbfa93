//! The routing information of a bucket.

use crate::{
    catalog::{Revision, Service, TargetKey},
    membership::{MemberId, slot_of},
};

/// The candidates for a packet of a bucket, as known to one entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketRoute {
    /// The target of flows that are not recorded anywhere: that of the oldest
    /// live generation.
    pub base: TargetKey,
    /// The target of new flows: that of the generation in force.
    pub in_force: TargetKey,
    /// Whether flows of the bucket may be on more than one target.
    pub ambiguous: bool,
    /// The ownership slot that contains the bucket.
    pub slot: u16,
    /// The owner of the slot, or its previous owner while the members'
    /// membership views may differ; `None` if there is no owner.
    pub owner: Option<MemberId>,
}

impl BucketRoute {
    /// Returns the routing information of a bucket.
    ///
    /// `agreed` is the revision in force; `owner_of` returns the owner of a slot.
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
