//! Passive failure detection of targets, from retransmissions of callers.
//!
//! Load pattern: a target crashes, or an availability zone is cut off, while
//! the store still lists its targets for several heartbeats. Callers
//! retransmit unanswered packets, and the acknowledgements that they send show
//! every answer, so no active probes are needed.

use crate::time::{Duration, Instant};

use super::Options;

/// Whether a target may get new flows; placement prefers the lower value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// The target answers, or no packet to it is known to be unanswered.
    Trusted,
    /// The target is suspected, but its backoff has elapsed: one flow may be
    /// placed on it as a probe.
    Probation,
    /// The target doesn't answer and gets no new flows.
    Suspected,
}

/// Unanswered packets and answers of one target.
///
/// A target is suspected from its first unanswered packet to its next answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspicion {
    last_answered_sent: Option<Instant>,
    /// The number of unanswered retransmissions since the last answer.
    unanswered: u32,
    first_unanswered_sent: Instant,
    last_unanswered_sent: Instant,
    /// The number of unanswered retransmissions up to the latest, each of which
    /// arrived within [`Options::evidence_ttl`] of the one before.
    recent_unanswered: u32,
    last_retransmission: Instant,
    backoff_until: Instant,
    backoff_rounds: u32,
    probe_until: Option<Instant>,
}

impl Suspicion {
    /// Records a retransmission of an unanswered packet that was first sent at
    /// `sent`. Returns whether the target has just become suspected.
    pub fn record_unanswered(&mut self, now: Instant, sent: Instant, options: &Options) -> bool {
        if self.last_answered_sent.is_some_and(|at| at >= sent) {
            return false;
        }
        let was_suspected = self.unanswered > 0;
        if !was_suspected {
            self.first_unanswered_sent = sent;
        }
        self.unanswered += 1;
        self.last_unanswered_sent = sent;
        let is_recent =
            was_suspected && now.since(self.last_retransmission) <= options.evidence_ttl;
        self.recent_unanswered = if is_recent {
            self.recent_unanswered + 1
        } else {
            1
        };
        self.last_retransmission = now;
        if !was_suspected || self.probe_until.is_some() {
            let backoff = options
                .initial_backoff
                .times(1 << self.backoff_rounds.min(4));
            self.backoff_until = now + backoff.min(options.max_backoff);
            self.backoff_rounds += 1;
            self.probe_until = None;
        }
        !was_suspected
    }

    /// Records an answer to a packet that was sent at `at`. Returns whether
    /// the target was suspected until now.
    ///
    /// A suspected target stays suspected if that packet was sent before the
    /// latest unanswered one: such an answer doesn't show that the target
    /// still answers.
    pub fn record_answer(&mut self, at: Instant) -> bool {
        let was_suspected = self.unanswered > 0;
        if was_suspected && at < self.last_unanswered_sent {
            return false;
        }
        let last_answered_sent = self.last_answered_sent.map_or(at, |known| known.max(at));
        *self = Self {
            last_answered_sent: Some(last_answered_sent),
            ..Self::default()
        };
        was_suspected
    }

    /// Returns whether the target may get new flows.
    pub fn trust(&self, now: Instant) -> Trust {
        if self.unanswered == 0 {
            Trust::Trusted
        } else if now < self.backoff_until || self.probe_until.is_some_and(|until| now < until) {
            Trust::Suspected
        } else {
            Trust::Probation
        }
    }

    /// Records that a flow was placed on a target on probation; it gets no
    /// other one within `span`.
    pub fn begin_probe(&mut self, now: Instant, span: Duration) {
        self.probe_until = Some(now + span);
    }

    /// Returns when the first of the unanswered packets was sent; none if the
    /// target isn't suspected.
    pub fn first_unanswered_sent(&self) -> Option<Instant> {
        (self.unanswered > 0).then_some(self.first_unanswered_sent)
    }

    /// Returns when the latest of the unanswered packets was first sent; none
    /// if the target isn't suspected.
    pub fn last_unanswered_sent(&self) -> Option<Instant> {
        (self.unanswered > 0).then_some(self.last_unanswered_sent)
    }

    /// Returns the number of unanswered retransmissions since the last answer.
    pub const fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Returns the number of unanswered retransmissions that are recent enough
    /// to show that the target doesn't answer now; the cause of older ones may
    /// be over.
    pub fn recent_unanswered(&self, now: Instant, options: &Options) -> u32 {
        let is_recent = now.since(self.last_retransmission) <= options.evidence_ttl;
        if is_recent { self.recent_unanswered } else { 0 }
    }

    /// Returns when the latest packet was sent that the target has answered.
    pub const fn last_answered_sent(&self) -> Option<Instant> {
        self.last_answered_sent
    }
}
