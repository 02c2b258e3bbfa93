//! The failure detector: selects members to probe and detects failures.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::time::Instant;

use super::{Health, Member, MemberId, MemberUpdate, Options, View};

/// A probe that has not been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The member that was probed.
    pub member: MemberId,
    /// The sequence number, which the acknowledgement repeats.
    pub sequence: u32,
    /// When the probe was sent.
    pub sent: Instant,
    /// Whether indirect probes were requested.
    pub indirect: bool,
}

/// The failure detector of one entry VM.
#[derive(Debug, Clone)]
pub struct Detector {
    options: Options,
    rng: Pcg64Mcg,
    /// The members that remain to be probed in this round, in random order.
    round: Vec<MemberId>,
    pending: Vec<Probe>,
    sequence: u32,
    /// The number of probe periods so far.
    periods: u64,
    next_probe: Instant,
}

impl Detector {
    /// Creates a detector; `seed` seeds the random order of probes.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            rng: Pcg64Mcg::seed_from_u64(seed),
            round: Vec::new(),
            pending: Vec::new(),
            sequence: 0,
            periods: 0,
            next_probe: Instant::START,
        }
    }

    /// Returns the parameters of failure detection.
    pub const fn options(&self) -> &Options {
        &self.options
    }

    /// Starts a probe if a period has passed, and returns it.
    pub fn start_probe(&mut self, now: Instant, view: &View) -> Option<Probe> {
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + self.options.probe_period;
        self.periods += 1;
        let member = if self.periods % self.options.dead_probe_periods == 0 {
            self.random_dead_member(view)
                .or_else(|| self.next_peer(view))
        } else {
            self.next_peer(view)
        }?;
        self.sequence = self.sequence.wrapping_add(1);
        let probe = Probe {
            member,
            sequence: self.sequence,
            sent: now,
            indirect: false,
        };
        self.pending.push(probe);
        Some(probe)
    }

    fn next_peer(&mut self, view: &View) -> Option<MemberId> {
        loop {
            if self.round.is_empty() {
                self.round = view.peers().map(|m| m.record.id).collect();
                if self.round.is_empty() {
                    return None;
                }
                self.shuffle_round();
            }
            let id = self.round.pop()?;
            if view.get(id).is_some_and(Member::reachable) {
                return Some(id);
            }
        }
    }

    fn shuffle_round(&mut self) {
        for at in (1..self.round.len()).rev() {
            let other = self.rng.next_u64() as usize % (at + 1);
            self.round.swap(at, other);
        }
    }

    fn random_dead_member(&mut self, view: &View) -> Option<MemberId> {
        let dead = || view.iter().filter(|m| !m.reachable());
        let count = dead().count();
        if count == 0 {
            return None;
        }
        let at = self.rng.next_u64() as usize % count;
        dead().nth(at).map(|m| m.record.id)
    }

    /// Returns the probes that are due for indirect probing, each with the
    /// members that shall probe on behalf of this one. Each probe is returned
    /// once.
    pub fn indirect_probes(&mut self, now: Instant, view: &View) -> Vec<(Probe, Vec<MemberId>)> {
        let mut requests = Vec::new();
        for at in 0..self.pending.len() {
            let probe = self.pending[at];
            if probe.indirect || now.since(probe.sent) < self.options.direct_timeout {
                continue;
            }
            self.pending[at].indirect = true;
            let helpers = self.random_helpers(view, probe.member);
            requests.push((probe, helpers));
        }
        requests
    }

    fn random_helpers(&mut self, view: &View, except: MemberId) -> Vec<MemberId> {
        let candidates: Vec<MemberId> = view
            .peers()
            .map(|m| m.record.id)
            .filter(|&id| id != except)
            .collect();
        let mut helpers = Vec::new();
        for _ in 0..self.options.indirect_probes.min(candidates.len()) {
            let at = self.rng.next_u64() as usize % candidates.len();
            if !helpers.contains(&candidates[at]) {
                helpers.push(candidates[at]);
            }
        }
        helpers
    }

    /// Records an acknowledgement; returns whether it matched a pending probe.
    pub fn record_ack(&mut self, member: MemberId, sequence: u32) -> bool {
        let before = self.pending.len();
        self.pending
            .retain(|p| p.member != member || p.sequence > sequence);
        self.pending.len() != before
    }

    /// Marks members as suspect whose probes were not acknowledged within a
    /// period, and suspects as dead that did not refute in time; returns the
    /// new records.
    pub fn detect_failures(&mut self, now: Instant, view: &mut View) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let period = self.options.probe_period;
        let is_overdue = |p: &Probe| now.since(p.sent) >= period;
        for probe in self.pending.iter().filter(|p| is_overdue(p)) {
            updates.extend(view.degrade_health(probe.member, Health::Suspect, now));
        }
        self.pending.retain(|p| !is_overdue(p));
        let expired: Vec<MemberId> = view
            .iter()
            .filter(|m| m.record.health == Health::Suspect)
            .filter(|m| now.since(m.health_changed_at) >= self.options.suspicion_timeout)
            .map(|m| m.record.id)
            .collect();
        for id in expired {
            updates.extend(view.degrade_health(id, Health::Dead, now));
        }
        updates
    }

    /// Drops pending probes, for example after a pause of the process in which
    /// acknowledgements were missed.
    pub fn clear_pending_probes(&mut self) {
        self.pending.clear();
    }
}
