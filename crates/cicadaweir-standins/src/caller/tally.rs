//! What callers saw.

use std::fmt;

use hdrhistogram::Histogram;

/// The longest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

/// Significant digits of times.
const DIGITS: u8 = 3;

/// Counts and times over all flows of a pool.
#[derive(Clone)]
pub struct Tally {
    /// Flows that were opened.
    pub opened: u64,
    /// Flows that were refused before anything was delivered.
    pub refused: u64,
    /// Flows whose opening was never answered.
    pub unanswered: u64,
    /// Established flows that were reset or went silent.
    pub broken: u64,
    /// Requests that were answered in full.
    pub answered: u64,
    /// Requests whose answer was not whole in time.
    pub late: u64,
    /// Answers of another service than the one that was asked.
    pub wrong_service: u64,
    /// Answers to another request than the one that was asked.
    pub wrong_answer: u64,
    /// Flows whose answers came from two targets.
    pub moved: u64,
    /// The times of answered requests of a few packets, in microseconds.
    pub latency: Histogram<u64>,
    /// The times of answered downloads, in microseconds.
    pub download_latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS);
        Self {
            opened: 0,
            refused: 0,
            unanswered: 0,
            broken: 0,
            answered: 0,
            late: 0,
            wrong_service: 0,
            wrong_answer: 0,
            moved: 0,
            latency: histogram().expect("constant bounds"),
            download_latency: histogram().expect("constant bounds"),
        }
    }
}

impl fmt::Debug for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tally")
            .field("opened", &self.opened)
            .field("refused", &self.refused)
            .field("unanswered", &self.unanswered)
            .field("broken", &self.broken)
            .field("answered", &self.answered)
            .field("late", &self.late)
            .field("wrong_service", &self.wrong_service)
            .field("wrong_answer", &self.wrong_answer)
            .field("moved", &self.moved)
            .field("p99_us", &self.latency.value_at_quantile(0.99))
            .finish()
    }
}
