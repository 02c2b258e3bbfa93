//! What packets have shown, for logs and metrics.

use crate::{catalog::TargetKey, flow::FlowKey, time::Duration};

/// Something that was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A target doesn't answer.
    Suspected {
        /// The target.
        target: TargetKey,
        /// How long it hadn't answered by then.
        silent: Duration,
    },
    /// A suspected target answers again.
    Cleared {
        /// The target.
        target: TargetKey,
    },
    /// A caller has repeated a request, and its flow goes on.
    Retransmitted {
        /// The flow.
        flow: FlowKey,
        /// Its target.
        target: TargetKey,
        /// The time since the request was first sent.
        waited: Duration,
    },
    /// A caller has acknowledged the answer to its opening.
    OpeningAnswered {
        /// The time since its first opening passed here.
        took: Duration,
    },
    /// A caller has acknowledged the first bytes of an answer.
    RequestAnswered {
        /// The time since its request passed here.
        took: Duration,
    },
}
