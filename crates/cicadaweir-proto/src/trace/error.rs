//! Errors of replaying a trace.

use std::fmt;

/// A trace cannot be replayed, or its replay gives another result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceError {
    /// A line cannot be parsed.
    Line {
        /// The line number, counted from 1.
        line: usize,
        /// A description of the error.
        reason: String,
    },
    /// The actions of the node differ from those in the trace.
    Diverged {
        /// The line number, counted from 1.
        line: usize,
        /// The event.
        event: String,
        /// The actions in the trace.
        expected: Vec<String>,
        /// The actions of the node.
        actual: Vec<String>,
    },
    /// Packets of a flow were forwarded to two targets.
    Moved {
        /// The line number, counted from 1.
        line: usize,
        /// The flow.
        flow: String,
        /// The target of the earlier packets.
        from: String,
        /// The target of this packet.
        to: String,
    },
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line { line, reason } => write!(f, "line {line}: {reason}"),
            Self::Diverged {
                line,
                event,
                expected,
                actual,
            } => write!(
                f,
                "first divergence at line {line}: {event}\n  expected {expected:?}\n  actual   {actual:?}"
            ),
            Self::Moved {
                line,
                flow,
                from,
                to,
            } => write!(f, "line {line}: flow {flow} moved from {from} to {to}"),
        }
    }
}

impl std::error::Error for TraceError {}
