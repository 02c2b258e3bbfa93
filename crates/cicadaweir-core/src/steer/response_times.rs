//! How fast a service answers in one availability zone.
//!
//! Load pattern: an availability zone has fewer targets than its callers
//! need, always or while some are replaced, and other zones have room. An
//! entry VM sees only its own share of the requests, so its counts don't
//! tell how busy a target is; answer times do, whatever the share.

use crate::time::{Duration, Instant};

/// Answers over which the time is averaged: enough that one slow answer in
/// thirty doesn't move the mean by more than a tenth.
const SPAN: u32 = 64;

/// How many times the usual time an answer counts for at most.
const LONGEST: f32 = 4.0;

/// How far the usual time follows a longer mean with each answer: it forgets
/// a faster past within minutes.
const DRIFT: f32 = 1.0 / 8_192.0;

/// How long nothing may have been answered for the mean to count.
const MEMORY: Duration = Duration::from_secs(5);

/// Mean and usual answer time of a service in one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AnswerTimes {
    answers: u32,
    /// In seconds.
    mean: f32,
    /// The lowest mean so far, in seconds.
    usual: f32,
    last: Instant,
}

impl AnswerTimes {
    /// Takes in the time that an answer took.
    pub fn answered(&mut self, now: Instant, took: Duration) {
        let mut took = took.as_secs_f64() as f32;
        if self.is_known() {
            took = took.min(self.usual * LONGEST);
        }
        self.last = now;
        self.answers = self.answers.saturating_add(1);
        self.mean += (took - self.mean) / self.answers.min(SPAN) as f32;
        if self.answers <= SPAN || self.mean < self.usual {
            self.usual = self.mean;
        } else {
            self.usual += (self.mean - self.usual) * DRIFT;
        }
    }

    /// Returns how many times as long as usual answers take now; 1 if too few
    /// were seen.
    pub fn slowdown(&self, now: Instant) -> f32 {
        let recent = now.since(self.last) <= MEMORY;
        if self.is_known() && recent && self.usual > 0.0 {
            self.mean / self.usual
        } else {
            1.0
        }
    }

    const fn is_known(&self) -> bool {
        self.answers >= SPAN
    }
}
