//! Health checks of a target by the entry VM that probes it.

use crate::{
    catalog::TargetKey,
    time::{Duration, Instant},
};

use super::{Limits, LoadUpdate, Mark, Options, PassiveHealth, ProbeResult, Report, pending_limit};

/// The maximum time for which a target that does not answer openings stays down.
const MAX_SILENT_DOWN_TIME: Duration = Duration::from_secs(320);

/// The health state that a target's prober keeps of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct HealthTracker {
    consecutive_failures: u32,
    consecutive_successes: u32,
    last_report: Option<(Instant, Report)>,
    /// Moving average of the requests completed per second.
    rate: f64,
    ramp_started: Option<Instant>,
    /// The earliest time at which a target that did not answer openings may
    /// leave [`Mark::Down`].
    down_until: Option<Instant>,
    /// The last such time down; doubled each time.
    silent_down_time: Duration,
}

impl HealthTracker {
    /// Records the result of a probe and returns the target's new mark.
    ///
    /// `mark` is the target's current mark.
    pub fn record_probe(
        &mut self,
        now: Instant,
        result: ProbeResult,
        mark: Mark,
        limits: Limits,
        passive: &mut PassiveHealth,
        options: &Options,
    ) -> Mark {
        let silent = passive.evaluate(now, options);
        match result {
            ProbeResult::Healthy(report) => {
                self.update_rate(now, report);
                self.consecutive_failures = 0;
                self.consecutive_successes += 1;
            }
            ProbeResult::Unhealthy | ProbeResult::Silent => {
                self.consecutive_successes = 0;
                self.consecutive_failures += 1;
            }
        }
        if silent && mark != Mark::Down {
            return self.mark_silent_down(now, passive, options);
        }
        if self.consecutive_failures >= options.failure_threshold {
            return Mark::Down;
        }
        match result {
            ProbeResult::Healthy(report) => {
                self.mark_from_report(now, mark, &report, limits, options)
            }
            ProbeResult::Unhealthy | ProbeResult::Silent => mark,
        }
    }

    /// Marks a target down that answers probes but not openings, each time for
    /// twice as long as the last time.
    fn mark_silent_down(
        &mut self,
        now: Instant,
        passive: &mut PassiveHealth,
        options: &Options,
    ) -> Mark {
        self.silent_down_time = self
            .silent_down_time
            .times(2)
            .max(options.initial_silent_down_time)
            .min(MAX_SILENT_DOWN_TIME);
        self.down_until = Some(now + self.silent_down_time);
        passive.reset(now);
        Mark::Down
    }

    fn update_rate(&mut self, now: Instant, report: Report) {
        if let Some((at, last)) = self.last_report {
            let elapsed = now.since(at).as_secs_f64();
            let completed = report.completed.saturating_sub(last.completed) as f64;
            if elapsed > 0.0 {
                self.rate = 0.5 * self.rate + 0.5 * completed / elapsed;
            }
        }
        self.last_report = Some((now, report));
    }

    fn mark_from_report(
        &mut self,
        now: Instant,
        mark: Mark,
        report: &Report,
        limits: Limits,
        options: &Options,
    ) -> Mark {
        let utilization = self.utilization(report, limits, options);
        match mark {
            _ if report.draining => Mark::Down,
            Mark::Down if self.down_until.is_some_and(|until| now < until) => Mark::Down,
            Mark::Down if self.consecutive_successes >= options.success_threshold => {
                self.ramp_started = Some(now);
                Mark::Ramping
            }
            Mark::Down => Mark::Down,
            Mark::Ramping if utilization >= options.hot_threshold => Mark::Hot,
            Mark::Ramping => {
                let started = *self.ramp_started.get_or_insert(now);
                if now.since(started) >= options.ramp {
                    Mark::Settled
                } else {
                    Mark::Ramping
                }
            }
            Mark::Hot if utilization < options.cool_threshold => Mark::Settled,
            Mark::Hot => Mark::Hot,
            Mark::Normal | Mark::Settled if utilization >= options.hot_threshold => Mark::Hot,
            Mark::Normal | Mark::Settled => mark,
        }
    }

    /// Returns the utilization of a target: the used fraction of its connections
    /// or of its limit of pending requests, whichever is higher.
    fn utilization(&self, report: &Report, limits: Limits, options: &Options) -> f64 {
        let load = LoadUpdate {
            target: TargetKey(0),
            version: 0,
            open: report.open,
            pending: report.pending,
            rate: self.rate.round() as u32,
        };
        let connections = f64::from(report.open) / f64::from(limits.connections.max(1));
        let pending = f64::from(report.pending) / pending_limit(&load, limits, options);
        connections.max(pending)
    }

    /// Returns the moving average of the requests that the target completes per
    /// second, from its reports.
    pub const fn rate(&self) -> f64 {
        self.rate
    }
}
