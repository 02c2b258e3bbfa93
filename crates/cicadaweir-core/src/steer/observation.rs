//! Events that steering infers from packets, for logs and metrics.

use crate::{
    catalog::{ServiceKey, TargetKey},
    flow::FlowKey,
    time::Duration,
};

/// An event that was inferred from packets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A target became suspected: it left a packet unanswered.
    Suspected {
        /// The target.
        target: TargetKey,
        /// The time since that packet was first sent.
        silent: Duration,
    },
    /// A suspected target answered and is trusted again.
    Cleared {
        /// The target.
        target: TargetKey,
    },
    /// A caller retransmitted a request, and its flow was not reset.
    Retransmitted {
        /// The flow.
        flow: FlowKey,
        /// Its target.
        target: TargetKey,
        /// The time since the request was first sent.
        waited: Duration,
    },
    /// A service started or stopped refusing openings for load.
    Refusing {
        /// The service.
        service: ServiceKey,
        /// Whether it refuses now.
        refuses: bool,
        /// The limit of its requests in flight from this entry VM.
        limit: f32,
        /// Its requests in flight from this entry VM.
        in_flight: u32,
        /// Its mean response time.
        response_time: Duration,
    },
    /// A caller acknowledged the answer to its opening.
    OpeningAnswered {
        /// The time since this entry VM first saw the opening.
        took: Duration,
    },
    /// A caller acknowledged the first bytes of a response.
    RequestAnswered {
        /// The time since this entry VM first saw the request.
        took: Duration,
    },
}
