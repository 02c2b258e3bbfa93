//! How strongly callers are kept in their own availability zone.
//!
//! Load pattern: zones have unlike numbers of targets, lose some of them, or
//! are cut off from each other. A flow that stays in its caller's zone has the
//! shorter way and outlives a cut; a zone with fewer targets than its share
//! would bury them while others idle.

use super::Options;

/// The trusted targets of a service, as one entry VM in one zone sees them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Preference {
    /// Availability zones with targets of any service.
    pub zones: u32,
    /// Targets in the own zone.
    pub own_targets: u32,
    /// Slots of the targets in the own zone.
    pub own_slots: u32,
    /// Slots of all targets.
    pub slots: u32,
    /// What the targets in the own zone have to do, in requests in flight.
    pub own_load: f32,
}

impl Preference {
    /// Returns what another zone weighs in a target's load, in requests in
    /// flight, while the own zone answers as fast as usual.
    ///
    /// It is a multiple of what a target of the own zone has to do, so that it
    /// means the same whatever share of the requests this entry VM sees.
    /// Callers are taken to be spread evenly over the zones: of a zone with
    /// less than its share of the slots a part of the flows leaves.
    pub fn weight(&self, options: &Options) -> f32 {
        let Self { own_slots, .. } = *self;
        let mean = self.own_load / self.own_targets.max(1) as f32;
        let fair = self.slots as f32 / self.zones.max(1) as f32;
        let stays = options.own_share * own_slots as f32 / fair.max(1.0);
        if stays >= 1.0 {
            return mean * options.zone_preference;
        }
        // Balanced where the other zones' targets together get `1 - stays`
        // of the flows, each of them `1 - multiple` of an own one's.
        let others = (self.slots - own_slots).max(1) as f32;
        let leaves = own_slots as f32 * (1.0 - stays) / (stays * others).max(f32::MIN_POSITIVE);
        mean * (1.0 - leaves).max(0.0)
    }
}
