//! Passive health checks: whether a target answers the openings sent to it.
//!
//! The fabric distributes packets over the entry VMs regardless of their flow.
//! An entry VM thus sees an unbiased sample of the openings to a target and an
//! unbiased sample of its answers, but rarely both of the same flow. Therefore
//! the counts per window are compared, not individual flows.

use crate::time::{Duration, Instant};

use super::Options;

/// Counts of a target's openings and answers in the current window, and the
/// result of the previous ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassiveHealth {
    window_start: Instant,
    openings: u32,
    answers: u32,
    silent_windows: u32,
    last_answer: Option<Instant>,
}

impl PassiveHealth {
    /// Counts an opening that was forwarded to the target.
    pub fn record_opening(&mut self) {
        self.openings += 1;
    }

    /// Counts an answer of the target to an opening.
    pub fn record_answer(&mut self, now: Instant) {
        self.answers += 1;
        self.last_answer = Some(now);
    }

    /// Evaluates the current window if it is over; returns whether the target has
    /// been silent for two consecutive windows.
    pub fn evaluate(&mut self, now: Instant, options: &Options) -> bool {
        if now.since(self.window_start) < options.passive_window {
            return self.silent_windows >= 2;
        }
        if self.openings >= options.passive_min_openings {
            let answered_fraction = f64::from(self.answers) / f64::from(self.openings);
            if answered_fraction < options.passive_min_answered {
                self.silent_windows += 1;
            } else {
                self.silent_windows = 0;
            }
            self.openings = 0;
            self.answers = 0;
        }
        self.window_start = now;
        self.silent_windows >= 2
    }

    /// Resets the counts, so that a silent target is evaluated anew when it gets
    /// new flows again.
    pub fn reset(&mut self, now: Instant) {
        let last_answer = self.last_answer;
        *self = Self {
            window_start: now,
            last_answer,
            ..Self::default()
        };
    }

    /// Returns whether the target answered an opening within the last `span`.
    pub fn answered_within(&self, now: Instant, span: Duration) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) <= span)
    }
}
