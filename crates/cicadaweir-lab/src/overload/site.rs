//! The simulated site.

/// Entry VMs, targets and delays of one site. Entry VMs and targets belong to the
/// zones in turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Site {
    /// The number of availability zones.
    pub zones: usize,
    /// The number of entry VMs.
    pub entry_vms: usize,
    /// The number of targets.
    pub targets: usize,
    /// The number of requests that a target processes concurrently.
    pub slots: usize,
    /// The number of requests that a target queues.
    pub queue: usize,
    /// The number of flows beyond slots and queue from which on a target refuses
    /// openings.
    pub excess_flows: usize,
    /// Milliseconds after which a target rejects a request that it can't queue.
    pub reject_ms: f64,
    /// Milliseconds from a caller to an entry VM, and from a target to a caller.
    pub caller_ms: f64,
    /// Milliseconds between an entry VM and a target of its zone.
    pub in_zone_ms: f64,
    /// Milliseconds between zones.
    pub cross_zone_ms: f64,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            zones: 3,
            entry_vms: 9,
            targets: 14,
            slots: 2,
            queue: 8,
            excess_flows: 10,
            reject_ms: 130.0,
            caller_ms: 3.0,
            in_zone_ms: 0.2,
            cross_zone_ms: 5.4,
        }
    }
}

impl Site {
    /// Returns the requests per second that all targets complete, for requests of
    /// `work_ms` on average.
    pub fn capacity(&self, work_ms: f64) -> f64 {
        (self.targets * self.slots) as f64 * 1_000.0 / work_ms
    }
}
