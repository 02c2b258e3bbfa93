//! Early refusal.
//!
//! A target's room, by its last report, is divided among the entry VMs that
//! place flows; each spends its part until the next report. A report that is
//! old no longer grants room, but the target's known rate of completion does,
//! so that a prober's crash stops nothing. Nothing is delivered of an opening
//! that is refused.

use crate::time::Instant;

use super::{LoadUpdate, Options};

/// One entry VM's account of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission {
    report: Option<(Instant, LoadUpdate)>,
    placed: u32,
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
    pub fn admits(
        &self,
        now: Instant,
        connections: u32,
        slots: u16,
        members: usize,
        options: &Options,
    ) -> bool {
        let Some((at, report)) = self.report else {
            return true;
        };
        let age = now.since(at).as_secs_f64();
        let completed = f64::from(report.rate) * age;
        let goal = pending_goal(&report, slots, options);
        let work_room = goal - f64::from(report.pending) + completed;
        let room = if now.since(at) > options.report_age {
            completed
        } else {
            f64::from(connections.saturating_sub(report.open)).min(work_room)
        };
        f64::from(self.placed) < room / members as f64
    }

    /// Counts an opening that was placed on the target.
    pub fn place(&mut self) {
        self.placed = self.placed.saturating_add(1);
    }

    /// Returns how loaded the target looks, from 0 for idle to 1 for full.
    pub fn fullness(&self, connections: u32, members: usize) -> f64 {
        let reported = self.report.map_or(0, |(_, r)| r.open);
        let placed = u64::from(self.placed) * members as u64;
        (u64::from(reported) + placed) as f64 / f64::from(connections.max(1))
    }
}

/// Returns how many requests may be pending at a target: what it completes
/// within the longest wait, twice as many while nothing waits, so that a
/// target whose speed is not known yet is tried.
fn pending_goal(report: &LoadUpdate, slots: u16, options: &Options) -> f64 {
    let least = f64::from(u32::from(slots) * options.pending_per_slot);
    let bearable = f64::from(report.rate) * options.longest_wait.as_secs_f64();
    let goal = least.max(bearable);
    if report.pending <= u32::from(slots) {
        2.0 * goal
    } else {
        goal
    }
}
