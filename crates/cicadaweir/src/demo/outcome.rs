//! What the demo measured.

use std::time::Duration;

/// The measures of one demo.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Outcome {
    /// Flows that were opened.
    pub opened: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Open flows that broke up to the planned stop, by planned changes alone.
    pub broken_planned: u64,
    /// Open flows that broke by the crash.
    pub broken_crash: u64,
    /// Open flows that broke by the cut between zones.
    pub broken_cut: u64,
    /// Flows open when the crash came.
    pub open_at_crash: u64,
    /// Answers of a service that was not asked.
    pub wrong_service: u64,
    /// Answers to another request.
    pub wrong_answer: u64,
    /// Flows whose answers came from two targets.
    pub moved: u64,
    /// Requests that a target began twice.
    pub repeated: u64,
    /// The most loaded target over the mean.
    pub imbalance: f64,
    /// Openings of the surge that were answered, as a part.
    pub surge_opened: f64,
    /// The 99th percentile of requests at the crest.
    pub crest: Duration,
    /// The 99th percentile of short requests alone.
    pub short_alone: Duration,
    /// The 99th percentile of short requests beside downloads.
    pub short_beside: Duration,
    /// Until the second release note was in force everywhere.
    pub note: Duration,
    /// Until a planned stop was over.
    pub stop: Duration,
}

/// Whether one measure is as it should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// An invariant that holds, or a target that is reached.
    Good,
    /// A target of quality that is missed.
    Missed,
    /// An invariant that broke.
    Broken,
}

/// The longest that a release note may take.
const NOTE_BOUND: Duration = Duration::from_secs(3);

/// The bound of short work beside downloads against alone.
const SHORT_BOUND: f64 = 1.5;

/// The bound of the most loaded target over the mean.
const IMBALANCE_BOUND: f64 = 1.25;

/// One flow in this many may break by one crash.
const CRASH_BOUND: u64 = 1_000;

impl Outcome {
    /// Returns the rows of the closing table: what, how much, verdict.
    pub fn rows(&self) -> Vec<(String, String, Verdict)> {
        let invariant = |count: u64| {
            if count == 0 {
                Verdict::Good
            } else {
                Verdict::Broken
            }
        };
        let quality = |good: bool| if good { Verdict::Good } else { Verdict::Missed };
        let ms = |d: Duration| format!("{:.1} ms", d.as_secs_f64() * 1e3);
        let short_ratio =
            self.short_beside.as_secs_f64() / self.short_alone.as_secs_f64().max(1e-6);
        let crash_limit = self.open_at_crash / CRASH_BOUND;
        vec![
            (
                "flows opened, requests answered".into(),
                format!("{}, {}", self.opened, self.answered),
                quality(self.answered > 0),
            ),
            (
                "flows broken by planned changes".into(),
                self.broken_planned.to_string(),
                invariant(self.broken_planned),
            ),
            (
                "answers of another service, to another request".into(),
                format!("{}, {}", self.wrong_service, self.wrong_answer),
                invariant(self.wrong_service + self.wrong_answer),
            ),
            (
                "requests run twice, flows moved".into(),
                format!("{}, {}", self.repeated, self.moved),
                invariant(self.repeated + self.moved),
            ),
            (
                format!("flows broken by a crash, of {}", self.open_at_crash),
                self.broken_crash.to_string(),
                quality(self.broken_crash <= crash_limit),
            ),
            (
                "flows broken by a cut between zones".into(),
                self.broken_cut.to_string(),
                Verdict::Good,
            ),
            (
                "release note in force in every zone".into(),
                ms(self.note),
                quality(self.note <= NOTE_BOUND),
            ),
            ("planned stop".into(), ms(self.stop), Verdict::Good),
            (
                "most loaded target over the mean".into(),
                format!("{:.3}", self.imbalance),
                quality(self.imbalance <= IMBALANCE_BOUND),
            ),
            (
                "openings answered in the surge".into(),
                format!("{:.1} %", 100.0 * self.surge_opened),
                quality(self.surge_opened >= 0.95),
            ),
            (
                "99th percentile at the crest".into(),
                ms(self.crest),
                Verdict::Good,
            ),
            (
                "short work beside downloads, against alone".into(),
                format!(
                    "{short_ratio:.2} ({} / {})",
                    ms(self.short_beside),
                    ms(self.short_alone)
                ),
                quality(short_ratio <= SHORT_BOUND),
            ),
        ]
    }

    /// Returns whether all invariants held.
    pub fn invariants_held(&self) -> bool {
        !self.rows().iter().any(|row| row.2 == Verdict::Broken)
    }
}
