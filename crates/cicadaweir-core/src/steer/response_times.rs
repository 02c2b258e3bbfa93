//! Response times of a service in one availability zone.
//!
//! Load pattern: an availability zone has fewer targets than its callers need,
//! always or while some are replaced, and other zones have spare capacity. An
//! entry VM sees only a share of the requests, so its counts don't show how
//! busy a target is; response times do, regardless of the share.

use crate::time::{Duration, Instant};

/// The number of responses over which the mean is taken: enough that one slow
/// response in thirty doesn't change it by more than a tenth.
const WINDOW: u32 = 64;

/// The upper bound on a response time that enters the mean, as a multiple of
/// the baseline.
const MAX_RATIO: f32 = 4.0;

/// The weight with which the baseline follows a higher mean at each response:
/// it adapts to a permanently slower service within minutes.
const BASELINE_DRIFT: f32 = 1.0 / 8_192.0;

/// How long the mean stays valid after the last response.
const MEAN_TTL: Duration = Duration::from_secs(5);

/// Mean and baseline response time of a service in one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResponseTimes {
    responses: u32,
    /// In seconds.
    mean: f32,
    /// In seconds: the lowest mean so far, which follows a higher one slowly.
    baseline: f32,
    last_response: Instant,
}

impl ResponseTimes {
    /// Records a response that took `took`.
    pub fn record(&mut self, now: Instant, took: Duration) {
        let mut took = took.as_secs_f64() as f32;
        if self.has_baseline() {
            took = took.min(self.baseline * MAX_RATIO);
        }
        self.last_response = now;
        self.responses = self.responses.saturating_add(1);
        self.mean += (took - self.mean) / self.responses.min(WINDOW) as f32;
        if self.responses <= WINDOW || self.mean < self.baseline {
            self.baseline = self.mean;
        } else {
            self.baseline += (self.mean - self.baseline) * BASELINE_DRIFT;
        }
    }

    /// Returns the ratio of the mean to the baseline; 1 if there were too few
    /// responses, or none of late.
    pub fn slowdown(&self, now: Instant) -> f32 {
        let is_recent = now.since(self.last_response) <= MEAN_TTL;
        if self.has_baseline() && is_recent && self.baseline > 0.0 {
            self.mean / self.baseline
        } else {
            1.0
        }
    }

    const fn has_baseline(&self) -> bool {
        self.responses >= WINDOW
    }
}
