//! What a run came to.

use std::fmt;

/// Counts and broken promises.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Flows that were opened.
    pub opened: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests and openings that were given up.
    pub given_up: u64,
    /// Resets of the daemons' own on open flows, allowed ones included.
    pub resets: u64,
    /// Promises that were broken, in the order in which it was seen.
    pub broken: Vec<String>,
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
            self.broken.len()
        )?;
        self.broken
            .iter()
            .try_for_each(|what| write!(f, "\n  {what}"))
    }
}
