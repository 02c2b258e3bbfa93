//! Affinity of flows to the entry VM's own ("local") availability zone.
//!
//! Load pattern: zones have different numbers of targets, lose some of them, or
//! are cut off from each other. A flow that stays in its caller's zone has
//! lower latency and survives a cut; but a zone with less than its share of the
//! targets would overload them while those of other zones are idle.

use super::Options;

/// Totals over the trusted targets of a service, as one entry VM sees them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ZoneAffinity {
    /// The number of known availability zones.
    pub zones: u32,
    /// The number of targets in the local zone.
    pub local_targets: u32,
    /// The slots of the targets in the local zone.
    pub local_slots: u32,
    /// The slots of all targets.
    pub slots: u32,
    /// The load of the targets in the local zone, in requests in flight.
    pub local_load: f32,
}

impl ZoneAffinity {
    /// Returns the penalty of targets in other zones, in requests in flight,
    /// while the local zone answers as fast as usual.
    ///
    /// The penalty is a multiple of the mean load of the local zone's targets,
    /// so that its effect doesn't depend on the share of the requests that this
    /// entry VM sees. Callers are assumed to be spread evenly over the zones, so
    /// part of the flows leaves a zone that has less than its share of the slots.
    pub fn penalty(&self, options: &Options) -> f32 {
        let Self { local_slots, .. } = *self;
        let mean_load = self.local_load / self.local_targets.max(1) as f32;
        let fair_share = self.slots as f32 / self.zones.max(1) as f32;
        let local_fraction = options.local_share * local_slots as f32 / fair_share.max(1.0);
        if local_fraction >= 1.0 {
            return mean_load * options.zone_preference;
        }
        // In equilibrium the other zones' targets together get
        // `1 - local_fraction` of the flows, and the load of each of their slots
        // is `remote_ratio` times that of a local one. The penalty makes up for
        // the difference.
        let remote_slots = (self.slots - local_slots).max(1) as f32;
        let remote_ratio = local_slots as f32 * (1.0 - local_fraction)
            / (local_fraction * remote_slots).max(f32::MIN_POSITIVE);
        mean_load * (1.0 - remote_ratio).max(0.0)
    }
}
