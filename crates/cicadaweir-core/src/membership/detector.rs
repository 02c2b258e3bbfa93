//! Who is probed next, and who is suspected.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::time::Instant;

use super::{Health, Member, MemberId, MemberUpdate, Options, View};

/// A probe that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The member that was probed.
    pub member: MemberId,
    /// The number that the answer repeats.
    pub sequence: u32,
    /// When the probe was sent.
    pub sent: Instant,
    /// Whether others were asked to probe too.
    pub indirect: bool,
}

/// The failure detector of one entry VM.
#[derive(Debug, Clone)]
pub struct Detector {
    options: Options,
    random: Pcg64Mcg,
    round: Vec<MemberId>,
    open: Vec<Probe>,
    sequence: u32,
    periods: u64,
    next_probe: Instant,
}

impl Detector {
    /// Makes a detector.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            random: Pcg64Mcg::seed_from_u64(seed),
            round: Vec::new(),
            open: Vec::new(),
            sequence: 0,
            periods: 0,
            next_probe: Instant::START,
        }
    }

    /// Returns the timing in use.
    pub const fn options(&self) -> &Options {
        &self.options
    }

    /// Starts a probe if a period has passed; returns whom to probe.
    pub fn start_probe(&mut self, now: Instant, view: &View) -> Option<Probe> {
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + self.options.probe_period;
        self.periods += 1;
        let member = if self.periods % self.options.dead_probe_periods == 0 {
            self.random_dead(view).or_else(|| self.next_in_round(view))
        } else {
            self.next_in_round(view)
        }?;
        self.sequence = self.sequence.wrapping_add(1);
        let probe = Probe {
            member,
            sequence: self.sequence,
            sent: now,
            indirect: false,
        };
        self.open.push(probe);
        Some(probe)
    }

    fn next_in_round(&mut self, view: &View) -> Option<MemberId> {
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
            let other = self.random.next_u64() as usize % (at + 1);
            self.round.swap(at, other);
        }
    }

    fn random_dead(&mut self, view: &View) -> Option<MemberId> {
        let dead = || view.iter().filter(|m| !m.reachable());
        let count = dead().count();
        if count == 0 {
            return None;
        }
        let at = self.random.next_u64() as usize % count;
        dead().nth(at).map(|m| m.record.id)
    }

    /// Returns probes that have waited long enough for others to be asked,
    /// with the members to ask.
    pub fn indirect_probes(&mut self, now: Instant, view: &View) -> Vec<(Probe, Vec<MemberId>)> {
        let mut wanted = Vec::new();
        for at in 0..self.open.len() {
            let probe = self.open[at];
            if probe.indirect || now.since(probe.sent) < self.options.direct_timeout {
                continue;
            }
            self.open[at].indirect = true;
            let helpers = self.helpers(view, probe.member);
            wanted.push((probe, helpers));
        }
        wanted
    }

    fn helpers(&mut self, view: &View, except: MemberId) -> Vec<MemberId> {
        let candidates: Vec<MemberId> = view
            .peers()
            .map(|m| m.record.id)
            .filter(|&id| id != except)
            .collect();
        let mut helpers = Vec::new();
        for _ in 0..self.options.indirect_probes.min(candidates.len()) {
            let at = self.random.next_u64() as usize % candidates.len();
            if !helpers.contains(&candidates[at]) {
                helpers.push(candidates[at]);
            }
        }
        helpers
    }

    /// Records an answer; returns whether a probe was waiting for it.
    pub fn record_ack(&mut self, member: MemberId, sequence: u32) -> bool {
        let before = self.open.len();
        self.open
            .retain(|p| p.member != member || p.sequence > sequence);
        self.open.len() != before
    }

    /// Suspects members whose probes stayed unanswered for a period, declares
    /// suspects dead that did not refute, and returns the new records.
    pub fn detect_failures(&mut self, now: Instant, view: &mut View) -> Vec<MemberUpdate> {
        let mut news = Vec::new();
        let period = self.options.probe_period;
        let late = |p: &Probe| now.since(p.sent) >= period;
        for probe in self.open.iter().filter(|p| late(p)) {
            news.extend(view.worsen(probe.member, Health::Suspect, now));
        }
        self.open.retain(|p| !late(p));
        let condemned: Vec<MemberId> = view
            .iter()
            .filter(|m| m.record.health == Health::Suspect)
            .filter(|m| now.since(m.health_changed_at) >= self.options.suspicion_timeout)
            .map(|m| m.record.id)
            .collect();
        for id in condemned {
            news.extend(view.worsen(id, Health::Dead, now));
        }
        news
    }

    /// Forgets open probes, as after a pause in which answers were missed.
    pub fn clear_pending_probes(&mut self) {
        self.open.clear();
    }
}
