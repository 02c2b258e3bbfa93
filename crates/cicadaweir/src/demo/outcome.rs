//! Measurements of the demo.

use std::time::Duration;

/// The measurements of a run of the demo.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Outcome {
    /// The number of established TCP flows.
    pub opened: u64,
    /// The number of requests that were answered in full.
    pub answered: u64,
    /// The number of open flows broken up to and including the planned stop, while
    /// only planned changes took place.
    pub broken_by_planned_changes: u64,
    /// The number of open flows broken after the crash.
    pub broken_by_crash: u64,
    /// The number of open flows broken during and after the network partition.
    pub broken_by_partition: u64,
    /// The number of open flows at the time of the crash.
    pub open_at_crash: u64,
    /// The number of answer packets from a service other than the requested one.
    pub wrong_service: u64,
    /// The number of answer packets that belong to another request.
    pub wrong_answer: u64,
    /// The number of requests answered by another target than the previous request of
    /// their flow.
    pub moved: u64,
    /// The number of requests received by a second target.
    pub duplicated: u64,
    /// The highest number of open flows of a target of the service `board`, relative to
    /// the mean.
    pub imbalance: f64,
    /// The fraction of openings answered in the surge.
    pub surge_opened: f64,
    /// The 99th percentile of the latency of short requests in the surge.
    pub surge_p99: Duration,
    /// The 99th percentile of the latency of short requests without downloads.
    pub short_p99_alone: Duration,
    /// The 99th percentile of the latency of short requests during downloads.
    pub short_p99_during_downloads: Duration,
    /// The time until the second release note was in force on all entry VMs.
    pub note_duration: Duration,
    /// The time until the planned stop was complete.
    pub stop_duration: Duration,
}

/// The assessment of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The invariant holds, the goal is met, or the measurement has no goal.
    Passed,
    /// The goal is missed.
    Missed,
    /// The invariant is violated.
    Violated,
}

/// The goal for the time until a release note is in force on all entry VMs.
const MAX_NOTE_DURATION: Duration = Duration::from_secs(3);

/// The goal for the 99th percentile of the latency of short requests during
/// downloads, relative to that without downloads.
const MAX_SHORT_REQUEST_RATIO: f64 = 1.5;

/// The goal for the open flows of the most loaded target, relative to the mean.
const MAX_IMBALANCE: f64 = 1.25;

/// At most one in this number of open flows should break in a crash.
const OPEN_FLOWS_PER_BROKEN_FLOW: u64 = 1_000;

impl Outcome {
    /// Returns the rows of the final table: label, value, verdict. In JSON output
    /// the labels are the keys.
    pub fn rows(&self) -> Vec<(String, String, Verdict)> {
        let invariant = |count: u64| {
            if count == 0 {
                Verdict::Passed
            } else {
                Verdict::Violated
            }
        };
        let goal = |met: bool| {
            if met {
                Verdict::Passed
            } else {
                Verdict::Missed
            }
        };
        let ms = |d: Duration| format!("{:.1} ms", d.as_secs_f64() * 1e3);
        let short_ratio = self.short_p99_during_downloads.as_secs_f64()
            / self.short_p99_alone.as_secs_f64().max(1e-6);
        let max_broken_by_crash = self.open_at_crash / OPEN_FLOWS_PER_BROKEN_FLOW;
        vec![
            (
                "flows opened, requests answered".into(),
                format!("{}, {}", self.opened, self.answered),
                goal(self.answered > 0),
            ),
            (
                "flows broken by planned changes".into(),
                self.broken_by_planned_changes.to_string(),
                invariant(self.broken_by_planned_changes),
            ),
            (
                "answers of another service, to another request".into(),
                format!("{}, {}", self.wrong_service, self.wrong_answer),
                invariant(self.wrong_service + self.wrong_answer),
            ),
            (
                "requests run twice, flows moved".into(),
                format!("{}, {}", self.duplicated, self.moved),
                invariant(self.duplicated + self.moved),
            ),
            (
                format!("flows broken by a crash, of {}", self.open_at_crash),
                self.broken_by_crash.to_string(),
                goal(self.broken_by_crash <= max_broken_by_crash),
            ),
            (
                "flows broken by a cut between zones".into(),
                self.broken_by_partition.to_string(),
                Verdict::Passed,
            ),
            (
                "release note in force in every zone".into(),
                ms(self.note_duration),
                goal(self.note_duration <= MAX_NOTE_DURATION),
            ),
            (
                "planned stop".into(),
                ms(self.stop_duration),
                Verdict::Passed,
            ),
            (
                "most loaded target over the mean".into(),
                format!("{:.3}", self.imbalance),
                goal(self.imbalance <= MAX_IMBALANCE),
            ),
            (
                "openings answered in the surge".into(),
                format!("{:.1} %", 100.0 * self.surge_opened),
                goal(self.surge_opened >= 0.95),
            ),
            (
                "99th percentile at the crest".into(),
                ms(self.surge_p99),
                Verdict::Passed,
            ),
            (
                "short work beside downloads, against alone".into(),
                format!(
                    "{short_ratio:.2} ({} / {})",
                    ms(self.short_p99_during_downloads),
                    ms(self.short_p99_alone)
                ),
                goal(short_ratio <= MAX_SHORT_REQUEST_RATIO),
            ),
        ]
    }

    /// Returns whether no invariant is violated.
    pub fn invariants_held(&self) -> bool {
        !self.rows().iter().any(|row| row.2 == Verdict::Violated)
    }
}
