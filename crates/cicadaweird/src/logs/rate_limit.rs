//! How many lines of a kind may be written.

use std::time::{Duration, Instant};

/// The span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Kinds of lines that come with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An opening was placed.
    Opening,
    /// A flow of another entry VM was taken on.
    Adopted,
    /// A caller has repeated a request.
    Repeated,
    /// A flow was reset.
    Reset,
    /// A packet was dropped.
    Drop,
    /// The belief in a target has changed.
    Belief,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Opening,
        Self::Adopted,
        Self::Repeated,
        Self::Reset,
        Self::Drop,
        Self::Belief,
    ];

    /// Returns the kind's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Opening => "opening",
            Self::Adopted => "adopted",
            Self::Repeated => "repeated",
            Self::Reset => "reset",
            Self::Drop => "drop",
            Self::Belief => "belief",
        }
    }
}

/// Lines written and left out, by kind.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    most: u32,
    since: Instant,
    written: [u32; Kind::ALL.len()],
    left_out: [u64; Kind::ALL.len()],
}

impl Budget {
    /// Allows `most` lines a second of each kind.
    pub fn new(most: u32, now: Instant) -> Self {
        Self {
            most,
            since: now,
            written: [0; Kind::ALL.len()],
            left_out: [0; Kind::ALL.len()],
        }
    }

    /// Returns whether a line may be written, and counts it either way.
    pub fn allows(&mut self, kind: Kind, now: Instant) -> bool {
        if now.duration_since(self.since) >= SPAN {
            self.since = now;
            self.written = [0; Kind::ALL.len()];
        }
        let at = kind as usize;
        let allowed = self.written[at] < self.most;
        if allowed {
            self.written[at] += 1;
        } else {
            self.left_out[at] += 1;
        }
        allowed
    }

    /// Takes the number of lines of a kind that were left out since the last
    /// call.
    pub fn take_left_out(&mut self, kind: Kind) -> u64 {
        std::mem::take(&mut self.left_out[kind as usize])
    }
}
