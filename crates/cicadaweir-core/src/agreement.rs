//! When a generation that is known comes into force.
//!
//! Every member must know a revision before any owner may place a flow by
//! it. Members form a tree over the ascending list of their identities; each
//! tells its parent the lowest revision that its subtree knows, and the root's
//! own minimum is the agreed revision. News of both travel along the same tree
//! at once, and with the gossip where the tree is broken. A member thus sends
//! one message up and a few down for each change, whatever the size of the
//! fleet.
//!
//! A member that says nothing for [`Options::bound`] no longer holds up the
//! others: it counts as fenced. It may be cut off; what it then breaks is
//! stated in docs/design/release-notes.md.

use indexmap::IndexMap;

use crate::{
    catalog::Revision,
    membership::MemberId,
    time::{Duration, Instant},
};

/// How the agreement is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Children of a member in the tree.
    pub fanout: usize,
    /// How long a revision is known here before it comes into force without
    /// the silent members.
    pub bound: Duration,
    /// How often an unchanged minimum is repeated to the parent.
    pub repeat: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fanout: 8,
            bound: Duration::from_millis(2_000),
            repeat: Duration::from_millis(400),
        }
    }
}

/// A message up the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The parent.
    pub to: MemberId,
    /// The lowest revision that this member's subtree knows.
    pub known: Revision,
}

/// One entry VM's part in the agreement.
#[derive(Debug, Clone, Default)]
pub struct Agreement {
    options: Options,
    known: Revision,
    agreed: Revision,
    /// Revisions that are known and not in force, oldest first.
    waiting: Vec<(Revision, Instant)>,
    children: IndexMap<MemberId, Revision>,
    last_report: Option<(Instant, Report)>,
}

impl Agreement {
    /// Makes the state of a member that knows nothing.
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

    /// Returns the newest revision that is in force here.
    pub const fn agreed(&self) -> Revision {
        self.agreed
    }

    /// Records that this member knows a revision.
    pub fn record_known(&mut self, revision: Revision, now: Instant) {
        if revision > self.known {
            self.known = revision;
            self.waiting.push((revision, now));
        }
    }

    /// Starts with a revision that is in force already, as a newcomer does.
    pub fn adopt(&mut self, known: Revision, agreed: Revision, now: Instant) {
        self.record_known(known, now);
        self.raise_agreed(agreed);
    }

    /// Returns the tree neighbours of a member: its parent and its children.
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

    /// Records the agreed revision that another member names; returns
    /// whether the revision in force changed here.
    pub fn raise_agreed(&mut self, agreed: Revision) -> bool {
        let agreed = agreed.min(self.known);
        let news = agreed > self.agreed;
        self.agreed = self.agreed.max(agreed);
        news
    }

    /// Puts a known revision into force without asking anybody; for proofs
    /// that take the guard away.
    pub fn force(&mut self, revision: Revision) {
        self.agreed = self.agreed.max(revision.min(self.known));
    }

    /// Advances by time; returns the report to send, if one is due, and
    /// whether the revision in force changed here.
    ///
    /// `members` are those that must know a revision, in ascending order.
    pub fn tick(
        &mut self,
        now: Instant,
        me: MemberId,
        members: &[MemberId],
    ) -> (Option<Report>, bool) {
        let before = self.agreed;
        let Ok(at) = members.binary_search(&me) else {
            self.force_after_bound(now);
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
        self.force_after_bound(now);
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
            Some((at, _)) => !settled && now.since(at) >= self.options.repeat,
        };
        if due {
            self.last_report = Some((now, report));
            return Some(report);
        }
        None
    }

    fn force_after_bound(&mut self, now: Instant) {
        let bound = self.options.bound;
        let overdue = |w: &&(Revision, Instant)| now.since(w.1) >= bound;
        if let Some(&(revision, _)) = self.waiting.iter().rev().find(overdue) {
            self.agreed = self.agreed.max(revision);
        }
        let agreed = self.agreed;
        self.waiting.retain(|w| w.0 > agreed);
    }
}
