//! The prober's verdict on one target.

use crate::{
    catalog::TargetKey,
    time::{Duration, Instant},
};

use super::{Limits, LoadUpdate, Mark, Options, PassiveHealth, ProbeResult, Report, pending_goal};

/// The longest that a target which was silent to callers stays down.
const LONGEST_HOLD: Duration = Duration::from_secs(320);

/// What the prober of a target remembers of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct HealthTracker {
    failures: u32,
    successes: u32,
    report: Option<(Instant, Report)>,
    rate: f64,
    ramp_started: Option<Instant>,
    held_until: Option<Instant>,
    hold: Duration,
}

impl HealthTracker {
    /// Records how a probe ended and returns the mark that follows.
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
                self.note_rate(now, report);
                self.failures = 0;
                self.successes += 1;
            }
            ProbeResult::Unhealthy | ProbeResult::Silent => {
                self.successes = 0;
                self.failures += 1;
            }
        }
        if silent && mark != Mark::Down {
            return self.hold_down(now, passive, options);
        }
        if self.failures >= options.failures {
            return Mark::Down;
        }
        match result {
            ProbeResult::Healthy(report) => self.mark_of(now, mark, &report, limits, options),
            ProbeResult::Unhealthy | ProbeResult::Silent => mark,
        }
    }

    /// Takes a target out that answers probes but not callers; each time for
    /// twice as long as the last.
    fn hold_down(&mut self, now: Instant, passive: &mut PassiveHealth, options: &Options) -> Mark {
        self.hold = self
            .hold
            .times(2)
            .max(options.silent_hold)
            .min(LONGEST_HOLD);
        self.held_until = Some(now + self.hold);
        passive.reset(now);
        Mark::Down
    }

    fn note_rate(&mut self, now: Instant, report: Report) {
        if let Some((at, last)) = self.report {
            let span = now.since(at).as_secs_f64();
            let done = report.completed.saturating_sub(last.completed) as f64;
            if span > 0.0 {
                self.rate = 0.5 * self.rate + 0.5 * done / span;
            }
        }
        self.report = Some((now, report));
    }

    fn mark_of(
        &mut self,
        now: Instant,
        mark: Mark,
        report: &Report,
        limits: Limits,
        options: &Options,
    ) -> Mark {
        let used = self.used(report, limits, options);
        match mark {
            _ if report.draining => Mark::Down,
            Mark::Down if self.held_until.is_some_and(|until| now < until) => Mark::Down,
            Mark::Down if self.successes >= options.successes => {
                self.ramp_started = Some(now);
                Mark::Ramping
            }
            Mark::Down => Mark::Down,
            Mark::Ramping if used >= options.hot => Mark::Hot,
            Mark::Ramping => {
                let started = *self.ramp_started.get_or_insert(now);
                if now.since(started) >= options.ramp {
                    Mark::Settled
                } else {
                    Mark::Ramping
                }
            }
            Mark::Hot if used < options.cool => Mark::Settled,
            Mark::Hot => Mark::Hot,
            Mark::Normal | Mark::Settled if used >= options.hot => Mark::Hot,
            Mark::Normal | Mark::Settled => mark,
        }
    }

    /// Returns how much of a target's connections or bearable queue is used,
    /// whichever is more.
    fn used(&self, report: &Report, limits: Limits, options: &Options) -> f64 {
        let load = LoadUpdate {
            target: TargetKey(0),
            version: 0,
            open: report.open,
            pending: report.pending,
            rate: self.rate.round() as u32,
        };
        let connections = f64::from(report.open) / f64::from(limits.connections.max(1));
        let pending = f64::from(report.pending) / pending_goal(&load, limits, options);
        connections.max(pending)
    }

    /// Returns the requests completed in a second, as reported.
    pub const fn rate(&self) -> f64 {
        self.rate
    }
}
