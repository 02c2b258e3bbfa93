//! Rate limit of log lines by kind.

use std::time::{Duration, Instant};

/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Kinds of log lines whose number grows with the traffic or the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// A target was selected for a new flow.
    Opening,
    /// A flow that another entry VM placed was adopted.
    Adopted,
    /// A caller retransmitted a request.
    Retransmitted,
    /// A flow was reset.
    Reset,
    /// A packet was dropped.
    Drop,
    /// A target was suspected or cleared of suspicion.
    Suspicion,
    /// A value of the store was rejected.
    Rejected,
    /// A target was added, changed or removed.
    Directory,
}

impl LineKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 8] = [
        Self::Opening,
        Self::Adopted,
        Self::Retransmitted,
        Self::Reset,
        Self::Drop,
        Self::Suspicion,
        Self::Rejected,
        Self::Directory,
    ];

    /// Returns the kind's name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Opening => "opening",
            Self::Adopted => "adopted",
            Self::Retransmitted => "repeated",
            Self::Reset => "reset",
            Self::Drop => "drop",
            Self::Suspicion => "belief",
            Self::Rejected => "rejected",
            Self::Directory => "directory",
        }
    }
}

/// Limits the log lines of each kind per second and counts the suppressed ones.
#[derive(Debug, Clone, Copy)]
pub struct RateLimiter {
    max_per_window: u32,
    window_start: Instant,
    written: [u32; LineKind::ALL.len()],
    suppressed: [u64; LineKind::ALL.len()],
}

impl RateLimiter {
    /// Creates a limiter that allows `max_per_second` lines of each kind.
    pub fn new(max_per_second: u32, now: Instant) -> Self {
        Self {
            max_per_window: max_per_second,
            window_start: now,
            written: [0; LineKind::ALL.len()],
            suppressed: [0; LineKind::ALL.len()],
        }
    }

    /// Returns whether a line may be written. Counts it as written or suppressed.
    pub fn allows(&mut self, kind: LineKind, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.written = [0; LineKind::ALL.len()];
        }
        let at = kind as usize;
        let allowed = self.written[at] < self.max_per_window;
        if allowed {
            self.written[at] += 1;
        } else {
            self.suppressed[at] += 1;
        }
        allowed
    }

    /// Returns the number of suppressed lines of a kind since the last call, and
    /// resets it.
    pub fn take_suppressed(&mut self, kind: LineKind) -> u64 {
        std::mem::take(&mut self.suppressed[kind as usize])
    }
}
