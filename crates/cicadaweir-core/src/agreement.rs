//! Agreement of all members on the revision that is in force.
//!
//! Every member must know a revision before any owner may place a flow by that
//! revision.
//! The members form a tree over the ascending list of their identifiers. Each
//! reports to its parent the lowest revision known in its subtree; the minimum
//! at the root is the agreed revision. Changes of both are sent along the tree
//! immediately, and by gossip where the tree is broken. Each member thus sends
//! one message to its parent and a few to its children per change,
//! independently of the size of the fleet.
//!
//! A member that has not reported within [`Options::agreement_timeout`] no
//! longer delays the others and is regarded as fenced. It may be partitioned;
//! docs/design/release-notes.md describes the effects.

use indexmap::IndexMap;

use crate::{
    catalog::Revision,
    membership::MemberId,
    time::{Duration, Instant},
};

/// Fan-out and timing of the agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of children of each member in the tree.
    pub fanout: usize,
    /// The time after which a revision that is known here comes into force even
    /// if members have not reported it.
    pub agreement_timeout: Duration,
    /// The interval at which an unchanged minimum is reported again.
    pub report_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fanout: 8,
            agreement_timeout: Duration::from_millis(2_000),
            report_interval: Duration::from_millis(400),
        }
    }
}

/// A report from a member to its parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The parent.
    pub to: MemberId,
    /// The lowest revision known in the member's subtree.
    pub known: Revision,
}

/// The agreement state of one member.
#[derive(Debug, Clone, Default)]
pub struct Agreement {
    options: Options,
    known: Revision,
    agreed: Revision,
    /// Known revisions that are not in force, oldest first, with the time at
    /// which they became known.
    pending: Vec<(Revision, Instant)>,
    /// The latest report of each child.
    children: IndexMap<MemberId, Revision>,
    last_report: Option<(Instant, Report)>,
}

impl Agreement {
    /// Creates the state of a member that knows no revision.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the newest revision that this member knows.
    pub const fn known(&self) -> Revision {
        self.known
    }

    /// Returns the revision that is in force on this member.
    pub const fn agreed(&self) -> Revision {
        self.agreed
    }

    /// Records that this member knows a revision.
    pub fn record_known(&mut self, revision: Revision, now: Instant) {
        if revision > self.known {
            self.known = revision;
            self.pending.push((revision, now));
        }
    }

    /// Starts with a revision that is already in force, for a member that joins.
    pub fn adopt(&mut self, known: Revision, agreed: Revision, now: Instant) {
        self.record_known(known, now);
        self.raise_agreed(agreed);
    }

    /// Returns the tree neighbours of a member: its parent and its children.
    /// `members` is in ascending order.
    pub fn neighbours<'a>(
        &self,
        me: MemberId,
        members: &'a [MemberId],
    ) -> impl Iterator<Item = MemberId> + 'a {
        let fanout = self.options.fanout;
        let at = members.binary_search(&me).ok();
        let parent = at.filter(|&at| at > 0).map(|at| (at - 1) / fanout);
        let first = at.map_or(0, |at| at * fanout + 1);
        let last = at.map_or(0, |_| first + fanout);
        let children = first.min(members.len())..last.min(members.len());
        parent.into_iter().chain(children).map(|at| members[at])
    }

    /// Records a child's report.
    pub fn record_child_report(&mut self, from: MemberId, known: Revision) {
        let entry = self.children.entry(from).or_default();
        *entry = (*entry).max(known);
    }

    /// Raises the revision in force to the agreed revision of another member, at
    /// most to the known one; returns whether it changed.
    pub fn raise_agreed(&mut self, agreed: Revision) -> bool {
        let agreed = agreed.min(self.known);
        let advanced = agreed > self.agreed;
        self.agreed = self.agreed.max(agreed);
        advanced
    }

    /// Puts a known revision into force without agreement, for tests that
    /// disable this guard.
    pub fn force(&mut self, revision: Revision) {
        self.agreed = self.agreed.max(revision.min(self.known));
    }

    /// Advances the state to `now`; returns the report to send, if one is due,
    /// and whether the revision in force changed.
    ///
    /// `members` are the members that must know a revision, in ascending order.
    pub fn tick(
        &mut self,
        now: Instant,
        me: MemberId,
        members: &[MemberId],
    ) -> (Option<Report>, bool) {
        let before = self.agreed;
        let Ok(at) = members.binary_search(&me) else {
            self.force_after_timeout(now);
            return (None, self.agreed != before);
        };
        let minimum = self.subtree_minimum(at, members);
        let mut report = None;
        if at == 0 {
            self.agreed = self.agreed.max(minimum);
        } else {
            let to = members[(at - 1) / self.options.fanout];
            report = self.due_report(now, Report { to, known: minimum });
        }
        self.force_after_timeout(now);
        (report, self.agreed != before)
    }

    fn subtree_minimum(&self, at: usize, members: &[MemberId]) -> Revision {
        let first = at * self.options.fanout + 1;
        let last = (first + self.options.fanout).min(members.len());
        (first..last)
            .map(|child| self.children.get(&members[child]).copied())
            .map(Option::unwrap_or_default)
            .fold(self.known, Revision::min)
    }

    fn due_report(&mut self, now: Instant, report: Report) -> Option<Report> {
        let settled = report.known == self.agreed;
        let due = match self.last_report {
            None => !settled,
            Some((_, last)) if last != report => true,
            Some((at, _)) => !settled && now.since(at) >= self.options.report_interval,
        };
        if due {
            self.last_report = Some((now, report));
            return Some(report);
        }
        None
    }

    fn force_after_timeout(&mut self, now: Instant) {
        let timeout = self.options.agreement_timeout;
        let overdue = |w: &&(Revision, Instant)| now.since(w.1) >= timeout;
        if let Some(&(revision, _)) = self.pending.iter().rev().find(overdue) {
            self.agreed = self.agreed.max(revision);
        }
        let agreed = self.agreed;
        self.pending.retain(|w| w.0 > agreed);
    }
}
