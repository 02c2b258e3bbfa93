//! Admission control for openings.
//!
//! While a target reports a low load, each entry VM may place openings on it up
//! to a burst limit per probe interval. Once the target reports a high load, its
//! remaining capacity is divided among the entry VMs that place flows, and each
//! uses its share until the next report. An expired report grants only as many
//! openings as the target completes at its last known rate, so that new flows
//! continue after a crash of the prober.

use crate::time::Instant;

use super::{LoadUpdate, Options};

/// The limits of a target, from its release note.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections.
    pub connections: u32,
    /// The number of requests that the target processes concurrently.
    pub slots: u16,
}

/// The admission state of one target on one entry VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission {
    /// The last report and its time of arrival.
    report: Option<(Instant, LoadUpdate)>,
    /// The number of openings placed since the last report.
    placed: u32,
    /// The start of the current burst interval.
    burst_start: Instant,
    /// The number of openings placed in the current burst interval.
    burst: u32,
}

impl Admission {
    /// Records a report if its version is newer than that of the last one;
    /// returns whether it is.
    pub fn record_report(&mut self, now: Instant, update: LoadUpdate) -> bool {
        let newer = self
            .report
            .is_none_or(|(_, old)| update.version > old.version);
        if newer {
            self.report = Some((now, update));
            self.placed = 0;
        }
        newer
    }

    /// Returns the last report, or `None` if there is none.
    pub fn last_report(&self) -> Option<&LoadUpdate> {
        self.report.as_ref().map(|r| &r.1)
    }

    /// Returns whether another opening may be placed on the target.
    ///
    /// `members` is the number of entry VMs that place flows.
    pub fn admits(&self, now: Instant, limits: Limits, members: usize, options: &Options) -> bool {
        let share = 1.0 / members as f64;
        if now.since(self.burst_start) < options.probe_interval {
            let burst_limit = options.burst_fraction * f64::from(limits.connections) * share;
            if f64::from(self.burst) >= burst_limit {
                return false;
            }
        }
        match &self.report {
            Some((at, report)) if is_loaded(report, limits, options) => {
                f64::from(self.placed)
                    < share * remaining_capacity(now, *at, report, limits, options)
            }
            _ => true,
        }
    }

    /// Counts an opening that this entry VM has placed on the target.
    pub fn record_placement(&mut self, now: Instant, options: &Options) {
        self.placed = self.placed.saturating_add(1);
        if now.since(self.burst_start) >= options.probe_interval {
            self.burst_start = now;
            self.burst = 0;
        }
        self.burst += 1;
    }

    /// Returns the estimated utilization of the target: 0 is idle, 1 is full. It
    /// may exceed 1.
    ///
    /// Assumes that each of the `members` entry VMs has placed as many openings
    /// since the last report as this one.
    pub fn utilization(&self, limits: Limits, members: usize, options: &Options) -> f64 {
        let placed = u64::from(self.placed) * members as u64;
        let (open, pending, max_pending) = self.report.map_or((0, 0, 1.0), |(_, r)| {
            (r.open, r.pending, pending_limit(&r, limits, options))
        });
        let connections = (u64::from(open) + placed) as f64 / f64::from(limits.connections.max(1));
        connections.max(f64::from(pending) / max_pending)
    }
}

/// Returns whether a target's load is high enough for openings to be limited.
/// Only then are its loads published to the other members.
pub fn is_loaded(report: &LoadUpdate, limits: Limits, options: &Options) -> bool {
    let used = f64::from(report.open) / f64::from(limits.connections.max(1));
    used >= options.loaded_threshold || report.pending > 2 * u32::from(limits.slots)
}

/// Returns the number of further openings that a loaded target can accept.
fn remaining_capacity(
    now: Instant,
    at: Instant,
    report: &LoadUpdate,
    limits: Limits,
    options: &Options,
) -> f64 {
    let completed = f64::from(report.rate) * now.since(at).as_secs_f64();
    if now.since(at) > options.report_ttl {
        return completed;
    }
    let pending_capacity =
        pending_limit(report, limits, options) - f64::from(report.pending) + completed;
    f64::from(limits.connections.saturating_sub(report.open)).min(pending_capacity)
}

/// Returns the maximum number of requests that may be pending at a target: the
/// number that it completes within [`Options::max_pending_wait`], but at least
/// [`Options::min_pending_per_slot`] for each slot.
pub fn pending_limit(report: &LoadUpdate, limits: Limits, options: &Options) -> f64 {
    let min_limit = f64::from(u32::from(limits.slots) * options.min_pending_per_slot);
    min_limit.max(f64::from(report.rate) * options.max_pending_wait.as_secs_f64())
}
