//! Admission of openings: how many requests of a service may be in flight from
//! this entry VM.
//!
//! Load pattern: many callers come at once, or all come back after an outage, and
//! ask for several times what the targets complete. Targets queue a few requests
//! and reject the rest; with full queues every answer is late, and callers that
//! come back keep the queues full after the crowd has gone.
//!
//! Each entry VM adjusts its limit to the response times that it sees, relative to
//! the latency objectives of the routes. All entry VMs see the same queues of the
//! same targets, so that no message is needed, and the limit is right for any number
//! of entry VMs. It rises in proportion to what callers offer and falls by a factor,
//! so that all entry VMs come to admit the same share of what they are offered.

use crate::time::{Duration, Instant};

/// The time constant of the decay of the offered rate.
const OFFER_WINDOW: Duration = Duration::from_millis(500);

/// The weight of a response in the mean response time.
const MEAN_WEIGHT: f32 = 1.0 / 16.0;

/// The weight with which the baseline follows a higher mean at each response: it
/// adapts to a permanently slower service within minutes.
const BASELINE_DRIFT: f32 = 1.0 / 4_096.0;

/// The goal without a latency objective, as a multiple of the baseline.
const GOAL_PER_BASELINE: f32 = 2.0;

/// The shortest goal in seconds: shorter response times are no sign of a queue that
/// matters to callers.
const MIN_GOAL: f32 = 0.05;

/// The assumed response time before the first response, in seconds.
const INITIAL_RESPONSE_TIME: f32 = 0.05;

/// The smallest limit in requests in flight.
const MIN_LIMIT: f32 = 0.5;

/// The upper bound on a response time, as a multiple of the goal.
const MAX_RATIO: f32 = 4.0;

/// How openings are limited.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitPolicy {
    /// Openings are never refused for load.
    Unlimited,
    /// A fixed number of requests in flight from this entry VM, per slot of all
    /// targets of the service.
    Fixed(f32),
    /// The goal is twice the lowest mean response time, whatever the objective.
    Gradient,
    /// The goal is a fraction of the latency objective of the route, and that of
    /// [`LimitPolicy::Gradient`] for routes without one.
    #[default]
    Objective,
}

/// Parameters of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionOptions {
    /// How openings are limited.
    pub policy: LimitPolicy,
    /// The median response time aimed at, as a fraction of the latency objective: the
    /// slowest requests take a multiple of the median.
    pub goal: f32,
    /// The smallest number of responses on which the limit is adjusted.
    pub min_responses: u32,
    /// The smallest factor of one decrease.
    pub max_decrease: f32,
    /// The increase per second, as a fraction of the requests in flight that the
    /// offered rate would need without queues.
    pub increase: f32,
    /// The factor of one increase while responses take less than
    /// `fast_below` of the goal.
    pub fast_increase: f32,
    /// The fraction of the goal below which the limit rises by `fast_increase`.
    pub fast_below: f32,
    /// The first limit, as a fraction of the slots of all targets of the service.
    pub initial: f32,
    /// The smallest first limit in requests in flight.
    pub min_initial: f32,
    /// The longest wait of an opening for admission while a service stays overloaded, as
    /// a fraction of the latency objective: waiting would only make the answer later.
    pub max_wait: f32,
    /// How long after it was last seen to be a service counts as overloaded.
    pub overload_ttl: Duration,
    /// How long a service may be overloaded before openings wait for `max_wait` at most:
    /// after an outage the crowd of those that waited is served within this time.
    pub crowd_time: Duration,
    /// The shortest time between two increases of the limit if fewer than
    /// `min_responses` have arrived.
    pub increase_interval: Duration,
    /// The smallest number of responses on which the limit is increased.
    pub min_increase_responses: u32,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            policy: LimitPolicy::default(),
            goal: 0.45,
            min_responses: 8,
            max_decrease: 0.6,
            increase: 0.5,
            fast_increase: 1.5,
            fast_below: 0.75,
            initial: 0.25,
            min_initial: 4.0,
            max_wait: 0.05,
            overload_ttl: Duration::from_secs(2),
            crowd_time: Duration::from_secs(1),
            increase_interval: Duration::from_millis(150),
            min_increase_responses: 3,
        }
    }
}

/// The responses since the last adjustment.
#[derive(Debug, Clone, Copy, Default)]
struct Batch {
    responses: u32,
    /// Those that took longer than the goal.
    slow: u32,
    /// The sum of the response times, as multiples of the goal.
    ratios: f32,
    since: Instant,
    /// The most requests in flight.
    peak: u32,
    /// Whether openings had to wait or were refused.
    was_limited: bool,
}

impl Batch {
    /// Returns whether most responses took longer than the goal. A few slow requests, or
    /// a few slow targets, say nothing about the others.
    fn is_slow(&self) -> bool {
        self.slow * 2 > self.responses
    }

    /// Returns the mean of the response times as a multiple of the goal.
    fn mean_ratio(&self) -> f32 {
        self.ratios / self.responses.max(1) as f32
    }
}

/// How many requests of one service may be in flight from this entry VM.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    limit: f32,
    slots: u32,
    /// The mean response time in seconds.
    mean: f32,
    /// The lowest mean so far in seconds; it follows a higher one slowly.
    baseline: f32,
    responses: u64,
    batch: Batch,
    /// When the limit last fell. Responses to earlier requests show the queues that
    /// it was meant to shorten.
    decreased_at: Option<Instant>,
    /// When the service became overloaded.
    overloaded_since: Option<Instant>,
    /// When it was last seen to be: the limit fell, or held openings back while
    /// responses took about as long as the goal.
    overload_seen_at: Option<Instant>,
    /// Openings of about the last [`OFFER_WINDOW`].
    offered: f32,
    offered_at: Instant,
    admitted_at: Option<Instant>,
    refused_at: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: 0.0,
            slots: 0,
            mean: INITIAL_RESPONSE_TIME,
            baseline: INITIAL_RESPONSE_TIME,
            responses: 0,
            batch: Batch::default(),
            decreased_at: None,
            overloaded_since: None,
            overload_seen_at: None,
            offered: 0.0,
            offered_at: Instant::START,
            admitted_at: None,
            refused_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Sets the slots of all targets of the service, and the limit until the first
    /// response.
    pub fn set_slots(&mut self, options: &AdmissionOptions, slots: u32) {
        let is_new = self.slots == 0 || self.responses == 0;
        self.slots = slots;
        if is_new {
            self.limit = self.initial_limit(options);
        }
    }

    /// Returns the limit without any sign of overload.
    fn initial_limit(&self, options: &AdmissionOptions) -> f32 {
        (self.slots as f32 * options.initial).max(options.min_initial)
    }

    /// Returns the limit in requests in flight.
    pub fn limit(&self, options: &AdmissionOptions) -> f32 {
        match options.policy {
            LimitPolicy::Unlimited => f32::INFINITY,
            LimitPolicy::Fixed(per_slot) => per_slot * self.slots as f32,
            LimitPolicy::Gradient | LimitPolicy::Objective => self.limit,
        }
    }

    /// Returns the mean response time.
    pub fn response_time(&self) -> Duration {
        Duration::from_micros((self.mean * 1e6) as u64)
    }

    /// Returns the response time without queues, in seconds.
    pub const fn baseline(&self) -> f32 {
        self.baseline
    }

    /// Returns whether an opening may be placed while `in_flight` requests are in
    /// flight. A limit below one spaces openings out.
    pub fn allows(&self, options: &AdmissionOptions, now: Instant, in_flight: u32) -> bool {
        let limit = self.limit(options);
        if limit >= 1.0 {
            return (in_flight + 1) as f32 <= limit;
        }
        let gap = Duration::from_micros((self.mean / limit * 1e6) as u64);
        in_flight == 0 && self.admitted_at.is_none_or(|at| now.since(at) >= gap)
    }

    /// Returns whether the service is overloaded, so that openings beyond the limit are
    /// refused.
    pub fn is_overloaded(&self, options: &AdmissionOptions, now: Instant) -> bool {
        self.overload_seen_at
            .is_some_and(|at| now.since(at) < options.overload_ttl)
    }

    /// Returns the longest wait for admission of an opening with a latency objective;
    /// `most` while the service is not overloaded, or has only just become it.
    pub fn max_wait(
        &self,
        options: &AdmissionOptions,
        now: Instant,
        aim: Option<Duration>,
        most: Duration,
    ) -> Duration {
        let is_crowd = self
            .overloaded_since
            .is_none_or(|since| now.since(since) < options.crowd_time);
        match aim {
            Some(aim) if !is_crowd && self.is_overloaded(options, now) => {
                Duration::from_micros((aim.as_micros() as f32 * options.max_wait) as u64).min(most)
            }
            _ => most,
        }
    }

    /// Returns how many openings may wait if none is to wait for longer than `max_wait`.
    pub fn queue_length(&self, options: &AdmissionOptions, max_wait: Duration) -> usize {
        let per_second = self.limit(options) / self.mean;
        (per_second * max_wait.as_secs_f64() as f32).max(1.0) as usize
    }

    /// Counts an opening that was offered.
    pub fn record_offer(&mut self, now: Instant) {
        self.offered = self.offered_in_window(now) + 1.0;
        self.offered_at = now;
    }

    /// Counts an opening that was admitted, so that `in_flight` requests are in flight.
    pub fn record_admitted(&mut self, now: Instant, in_flight: u32) {
        self.admitted_at = Some(now);
        self.batch.peak = self.batch.peak.max(in_flight);
    }

    /// Records that an opening had to wait.
    pub fn record_limited(&mut self) {
        self.batch.was_limited = true;
    }

    /// Records that an opening was refused.
    pub fn record_refused(&mut self, now: Instant) {
        self.batch.was_limited = true;
        self.refused_at = Some(now);
    }

    /// Returns when an opening was last refused.
    pub const fn refused_at(&self) -> Option<Instant> {
        self.refused_at
    }

    /// Records a response that took `took`, of a route with a latency objective.
    pub fn record_response(
        &mut self,
        options: &AdmissionOptions,
        now: Instant,
        took: Duration,
        aim: Option<Duration>,
    ) {
        let took = took.as_secs_f64() as f32;
        self.responses += 1;
        if self.responses == 1 {
            self.mean = took;
            self.baseline = took;
        }
        self.mean += (took - self.mean) * MEAN_WEIGHT;
        self.baseline = if self.mean < self.baseline {
            self.mean
        } else {
            self.baseline + (self.mean - self.baseline) * BASELINE_DRIFT
        };
        let goal = match (options.policy, aim) {
            (LimitPolicy::Objective, Some(aim)) => aim.as_secs_f64() as f32 * options.goal,
            _ => self.baseline * GOAL_PER_BASELINE,
        };
        let goal = goal.max(MIN_GOAL);
        let placed_at = now - Duration::from_micros((took * 1e6) as u64);
        if self.decreased_at.is_some_and(|at| placed_at < at) {
            return;
        }
        self.batch.responses += 1;
        let ratio = (took / goal).min(MAX_RATIO);
        self.batch.ratios += ratio;
        self.batch.slow += u32::from(ratio > 1.0);
        let span = now.since(self.batch.since);
        let is_full = self.batch.responses >= options.min_responses;
        let is_due = self.batch.responses >= options.min_increase_responses
            && span >= options.increase_interval;
        let is_slow = self.batch.is_slow();
        let may_increase = self.batch.was_limited && span >= self.response_time();
        if is_full && (is_slow || may_increase) || is_due && may_increase && !is_slow {
            self.adjust(options, now);
        } else if is_full && !self.batch.was_limited {
            if !self.is_overloaded(options, now) {
                self.limit = self.limit.max(self.initial_limit(options));
            }
            self.batch = Batch {
                since: now,
                ..Batch::default()
            };
        }
    }

    /// Sets the limit by the responses since the last adjustment.
    fn adjust(&mut self, options: &AdmissionOptions, now: Instant) {
        let batch = std::mem::replace(
            &mut self.batch,
            Batch {
                since: now,
                ..Batch::default()
            },
        );
        let ratio = batch.mean_ratio();
        if batch.is_slow() && ratio > 1.0 {
            let used = self.limit.min(batch.peak.max(1) as f32);
            self.limit = used * (1.0 / ratio).max(options.max_decrease);
            if !self.is_overloaded(options, now) {
                self.overloaded_since = Some(now);
            }
            self.decreased_at = Some(now);
            self.overload_seen_at = Some(now);
        } else if batch.was_limited {
            if ratio >= options.fast_below && self.is_overloaded(options, now) {
                self.overload_seen_at = Some(now);
            }
            let needed =
                self.offered_in_window(now) / OFFER_WINDOW.as_secs_f64() as f32 * self.baseline;
            let span = now.since(batch.since).as_secs_f64() as f32;
            let slow = self.limit + options.increase * needed * span.min(1.0);
            let fast = self.limit * options.fast_increase;
            self.limit = if ratio < options.fast_below {
                slow.max(fast)
            } else {
                slow
            };
        }
        self.limit = self.limit.max(MIN_LIMIT);
    }

    fn offered_in_window(&self, now: Instant) -> f32 {
        let age = now.since(self.offered_at).as_secs_f64() / OFFER_WINDOW.as_secs_f64();
        self.offered * (-age).exp() as f32
    }
}
