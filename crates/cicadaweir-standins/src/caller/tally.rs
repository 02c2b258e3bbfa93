//! Results of callers.

use std::fmt;

use hdrhistogram::Histogram;

/// The upper bound of recorded latencies, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// The precision of recorded latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters and latencies over all flows of a pool.
#[derive(Clone)]
pub struct Tally {
    /// TCP flows that were established.
    pub opened: u64,
    /// Flows that were reset before they were established.
    pub refused: u64,
    /// Flows whose opening was not answered.
    pub unanswered: u64,
    /// Established flows that were reset or on which a request timed out.
    pub broken: u64,
    /// Requests that were answered completely.
    pub answered: u64,
    /// Requests whose answer was not complete within the timeout.
    pub late: u64,
    /// Answer packets from another service than the requested one.
    pub wrong_service: u64,
    /// Answer packets with the identity of a request that the flow did not send.
    pub wrong_answer: u64,
    /// Requests of a flow that were answered by another target than the previous
    /// request.
    pub moved: u64,
    /// The latency of requests with a short answer, in microseconds.
    pub latency: Histogram<u64>,
    /// The latency of requests with a long answer (downloads), in microseconds.
    pub download_latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
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
            latency: histogram().expect("constant bounds are valid"),
            download_latency: histogram().expect("constant bounds are valid"),
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
