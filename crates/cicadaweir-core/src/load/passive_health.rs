//! What an entry VM sees of a target by itself.
//!
//! The fabric sprays packets, so an entry VM sees an unbiased sample of the
//! openings to a target and an unbiased sample of its answers, though seldom
//! both of one flow. The counts of a window are compared, not the flows.

use crate::time::{Duration, Instant};

use super::Options;

/// Openings and answers of one target, in windows.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassiveHealth {
    window_start: Instant,
    openings: u32,
    answers: u32,
    silent_windows: u32,
    last_answer: Option<Instant>,
}

impl PassiveHealth {
    /// Counts an opening that was sent on.
    pub fn opening(&mut self) {
        self.openings += 1;
    }

    /// Counts an answer to an opening.
    pub fn answer(&mut self, now: Instant) {
        self.answers += 1;
        self.last_answer = Some(now);
    }

    /// Closes the window if it is over; returns whether the target has been
    /// silent for two windows in a row.
    pub fn evaluate(&mut self, now: Instant, options: &Options) -> bool {
        if now.since(self.window_start) < options.passive_window {
            return self.silent_windows >= 2;
        }
        if self.openings >= options.passive_openings {
            let answered = f64::from(self.answers) / f64::from(self.openings);
            if answered < options.passive_answered {
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

    /// Forgets what was counted, as when a silent target gets another try.
    pub fn reset(&mut self, now: Instant) {
        let last_answer = self.last_answer;
        *self = Self {
            window_start: now,
            last_answer,
            ..Self::default()
        };
    }

    /// Returns whether the target answered an opening within a span.
    pub fn answered_within(&self, now: Instant, span: Duration) -> bool {
        self.last_answer.is_some_and(|at| now.since(at) <= span)
    }
}
