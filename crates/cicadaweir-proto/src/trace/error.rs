//! Why a trace can't be replayed, or departs.

use std::fmt;

/// Why a trace can't be replayed, or departs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceError {
    /// A line does not parse.
    Line {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong.
        why: String,
    },
    /// The node did something else than the trace says.
    Departed {
        /// The line's number, from 1.
        line: usize,
        /// The event.
        event: String,
        /// What the trace says.
        expected: Vec<String>,
        /// What the node did.
        found: Vec<String>,
    },
    /// Packets of one flow went to two targets.
    Moved {
        /// The line's number, from 1.
        line: usize,
        /// The flow.
        flow: String,
        /// The target before.
        from: String,
        /// The target now.
        to: String,
    },
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line { line, why } => write!(f, "line {line}: {why}"),
            Self::Departed {
                line,
                event,
                expected,
                found,
            } => write!(
                f,
                "line {line} is the first that departs: {event}\n  expected {expected:?}\n  found    {found:?}"
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
