//! Counters of decisions, for metrics.

use super::{DropReason, ResetReason, Verdict};

/// Numbers of decisions since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Openings that were placed, retransmitted ones included.
    pub placed: u64,
    /// Retransmitted openings that were placed.
    pub retransmitted_openings: u64,
    /// Packets that were sent to the target of their flow.
    pub forwarded: u64,
    /// Flows that another entry VM had placed and that were adopted here.
    pub adopted: u64,
    /// Requests whose response the caller has begun to acknowledge.
    pub answered: u64,
    /// Retransmissions of requests.
    pub retransmitted_requests: u64,
    /// Targets that became suspected.
    pub suspected: u64,
    /// Suspected targets that became trusted again.
    pub cleared: u64,
    /// Resets by reason, in the order of [`ResetReason`].
    pub resets: [u64; ResetReason::ALL.len()],
    /// Dropped packets by reason, in the order of [`DropReason`].
    pub drops: [u64; DropReason::ALL.len()],
    /// Packets that became pending.
    pub waits: u64,
    /// Openings that were refused for load, by the priority of their routes, the
    /// highest first; the last one includes all lower ones.
    pub refusals: [u64; PRIORITIES.len()],
}

/// The priorities that are counted one by one.
const PRIORITIES: [&str; 4] = ["priority_0", "priority_1", "priority_2", "priority_other"];

impl Counters {
    /// Returns all counters as decision, detail and value, in a fixed order.
    pub fn entries(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        let single = [
            ("placed", "new", self.placed),
            ("placed", "repeated", self.retransmitted_openings),
            ("forwarded", "known", self.forwarded),
            ("forwarded", "adopted", self.adopted),
            ("waited", "any", self.waits),
            ("request", "answered", self.answered),
            ("request", "repeated", self.retransmitted_requests),
            ("belief", "suspected", self.suspected),
            ("belief", "cleared", self.cleared),
        ];
        let resets = ResetReason::ALL.iter().zip(self.resets);
        let resets = resets.map(|(reason, count)| ("reset", reason.name(), count));
        let drops = DropReason::ALL.iter().zip(self.drops);
        let drops = drops.map(|(reason, count)| ("drop", reason.name(), count));
        let refusals = PRIORITIES.iter().zip(self.refusals);
        let refusals = refusals.map(|(priority, count)| ("refused", *priority, count));
        single
            .into_iter()
            .chain(resets)
            .chain(drops)
            .chain(refusals)
    }

    /// Counts a refusal for load.
    pub(super) fn record_refusal(&mut self, priority: u8) {
        let at = usize::from(priority).min(PRIORITIES.len() - 1);
        self.refusals[at] += 1;
    }

    /// Counts a verdict.
    pub(super) fn count(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Place { .. } => self.placed += 1,
            Verdict::Forward { adopted, .. } => {
                self.forwarded += 1;
                self.adopted += u64::from(*adopted);
            }
            Verdict::Reset(reason) => self.resets[*reason as usize] += 1,
            Verdict::Drop(reason) => self.drops[*reason as usize] += 1,
            Verdict::Wait(_) => self.waits += 1,
        }
    }
}
