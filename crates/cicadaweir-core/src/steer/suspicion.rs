//! Which targets no longer answer, judged by what callers repeat.
//!
//! Load pattern: a target dies without a word, or an availability zone is cut
//! off, while the store still lists its targets for several heartbeats. Callers repeat
//! what isn't answered, and any answer shows in the acknowledgements that
//! they send, so no probe of our own is needed.

use crate::time::{Duration, Instant};

use super::Options;

/// How far a target is trusted with new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// It answers, or nothing is known against it.
    Trusted,
    /// It didn't answer for a while and may be tried again with one flow.
    Probation,
    /// It doesn't answer.
    Suspected,
}

/// What speaks for and against one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspicion {
    last_answer: Option<Instant>,
    strikes: u32,
    first_strike: Instant,
    last_sent: Instant,
    /// Strikes that count as proof: none of them lies long before the next.
    proof: u32,
    last_strike: Instant,
    held_until: Instant,
    rounds: u32,
    trial_until: Option<Instant>,
}

impl Suspicion {
    /// Notes that something of a caller went unanswered and was repeated.
    /// `sent` is when it was sent first. Returns whether the target has just
    /// become suspected.
    pub fn strike(&mut self, now: Instant, sent: Instant, options: &Options) -> bool {
        if self.last_answer.is_some_and(|at| at >= sent) {
            return false;
        }
        let before = self.strikes > 0;
        if !before {
            self.first_strike = sent;
        }
        self.strikes += 1;
        self.last_sent = sent;
        let fresh = before && now.since(self.last_strike) <= options.proof_memory;
        self.proof = if fresh { self.proof + 1 } else { 1 };
        self.last_strike = now;
        if !before || self.trial_until.is_some() {
            let hold = options.suspicion_hold.times(1 << self.rounds.min(4));
            self.held_until = now + hold.min(options.longest_hold);
            self.rounds += 1;
            self.trial_until = None;
        }
        !before
    }

    /// Notes an answer to something that was sent at `at`. Returns whether the
    /// target was suspected until now; an answer to what was sent before the
    /// last thing that went unanswered says nothing about that.
    pub fn answered(&mut self, at: Instant) -> bool {
        let was = self.strikes > 0;
        if was && at < self.last_sent {
            return false;
        }
        let last_answer = self.last_answer.map_or(at, |known| known.max(at));
        *self = Self {
            last_answer: Some(last_answer),
            ..Self::default()
        };
        was
    }

    /// Returns how far the target is trusted.
    pub fn trust(&self, now: Instant) -> Trust {
        if self.strikes == 0 {
            Trust::Trusted
        } else if now < self.held_until || self.trial_until.is_some_and(|until| now < until) {
            Trust::Suspected
        } else {
            Trust::Probation
        }
    }

    /// Notes that a flow was placed on a target that is on trial; no other is
    /// until `span` has passed.
    pub fn begin_trial(&mut self, now: Instant, span: Duration) {
        self.trial_until = Some(now + span);
    }

    /// Returns whether the target is suspected, and since when it is silent.
    pub fn silent_since(&self) -> Option<Instant> {
        (self.strikes > 0).then_some(self.first_strike)
    }

    /// Returns when the latest thing that went unanswered was sent, if the
    /// target is suspected.
    pub fn unanswered_since(&self) -> Option<Instant> {
        (self.strikes > 0).then_some(self.last_sent)
    }

    /// Returns how often it went unanswered since the last answer.
    pub const fn strikes(&self) -> u32 {
        self.strikes
    }

    /// Returns how many strikes prove that it doesn't answer now; old ones
    /// don't, since whatever kept it from answering may be over.
    pub fn proof(&self, now: Instant, options: &Options) -> u32 {
        let fresh = now.since(self.last_strike) <= options.proof_memory;
        if fresh { self.proof } else { 0 }
    }

    /// Returns when the latest thing was sent that it has answered.
    pub const fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }
}
