//! Early refusal.
//!
//! A target that reports little load takes what comes, up to a burst for each
//! probe interval. Once it reports load, its room is divided among the entry
//! VMs that place flows, and each spends its part until the next report. A
//! report that is old grants no room beyond the target's known rate of
//! completion, so that a prober's crash stops nothing.

use crate::time::Instant;

use super::{LoadUpdate, Options};

/// The limits of a target, as its release note gives them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most connections.
    pub connections: u32,
    /// Requests at once.
    pub slots: u16,
}

/// One entry VM's account of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission {
    report: Option<(Instant, LoadUpdate)>,
    /// Openings placed since the last report.
    placed: u32,
    /// The start of the present burst interval.
    burst_from: Instant,
    /// Openings placed in the present burst interval.
    burst: u32,
}

impl Admission {
    /// Takes over a newer report; returns whether it was newer.
    pub fn report(&mut self, now: Instant, update: LoadUpdate) -> bool {
        let newer = self
            .report
            .is_none_or(|(_, old)| update.version > old.version);
        if newer {
            self.report = Some((now, update));
            self.placed = 0;
        }
        newer
    }

    /// Returns the last report.
    pub fn last_report(&self) -> Option<&LoadUpdate> {
        self.report.as_ref().map(|r| &r.1)
    }

    /// Returns whether one more opening may be placed on the target.
    ///
    /// `members` is the number of entry VMs that place flows.
    pub fn admits(&self, now: Instant, limits: Limits, members: usize, options: &Options) -> bool {
        let share = 1.0 / members as f64;
        if now.since(self.burst_from) < options.probe_interval {
            let burst = options.burst * f64::from(limits.connections) * share;
            if f64::from(self.burst) >= burst {
                return false;
            }
        }
        match &self.report {
            Some((at, report)) if is_loaded(report, limits, options) => {
                f64::from(self.placed) < share * room(now, *at, report, limits, options)
            }
            _ => true,
        }
    }

    /// Counts an opening that was placed on the target.
    pub fn record_placement(&mut self, now: Instant, options: &Options) {
        self.placed = self.placed.saturating_add(1);
        if now.since(self.burst_from) >= options.probe_interval {
            self.burst_from = now;
            self.burst = 0;
        }
        self.burst += 1;
    }

    /// Returns how loaded the target looks, from 0 for idle to 1 for full.
    pub fn utilization(&self, limits: Limits, members: usize, options: &Options) -> f64 {
        let placed = u64::from(self.placed) * members as u64;
        let (open, pending, goal) = self.report.map_or((0, 0, 1.0), |(_, r)| {
            (r.open, r.pending, pending_goal(&r, limits, options))
        });
        let connections = (u64::from(open) + placed) as f64 / f64::from(limits.connections.max(1));
        connections.max(f64::from(pending) / goal)
    }
}

/// Returns whether a load is worth publishing and limits openings.
pub fn is_loaded(report: &LoadUpdate, limits: Limits, options: &Options) -> bool {
    let used = f64::from(report.open) / f64::from(limits.connections.max(1));
    used >= options.loaded || report.pending > 2 * u32::from(limits.slots)
}

/// Returns how many more openings a loaded target can take.
fn room(now: Instant, at: Instant, report: &LoadUpdate, limits: Limits, options: &Options) -> f64 {
    let completed = f64::from(report.rate) * now.since(at).as_secs_f64();
    if now.since(at) > options.report_age {
        return completed;
    }
    let work = pending_goal(report, limits, options) - f64::from(report.pending) + completed;
    f64::from(limits.connections.saturating_sub(report.open)).min(work)
}

/// Returns how many requests may be pending at a target: what it completes
/// within the longest wait.
pub fn pending_goal(report: &LoadUpdate, limits: Limits, options: &Options) -> f64 {
    let least = f64::from(u32::from(limits.slots) * options.pending_per_slot);
    least.max(f64::from(report.rate) * options.longest_wait.as_secs_f64())
}
