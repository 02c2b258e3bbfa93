//! The result of a run.

use std::fmt;

/// Counters and violated invariants of a run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The number of opened flows.
    pub opened: u64,
    /// The number of answered requests.
    pub answered: u64,
    /// The number of openings and requests that timed out or were reset, except
    /// resets of open flows by a daemon.
    pub given_up: u64,
    /// The number of resets of open flows by daemons, including permitted ones.
    pub resets: u64,
    /// Descriptions of the violated invariants: first those that callers and
    /// probes detected, then those that targets detected.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} flows opened, {} requests answered, {} given up, {} resets, {} broken",
            self.seed,
            self.opened,
            self.answered,
            self.given_up,
            self.resets,
            self.violations.len()
        )?;
        self.violations
            .iter()
            .try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}
