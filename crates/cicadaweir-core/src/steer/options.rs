//! Tuning parameters of steering.

use crate::time::Duration;

use super::AdmissionOptions;

/// How long flows are remembered, how targets are weighed, and when targets
/// count as unresponsive.
///
/// "Retransmissions" counts those that arrive at this entry VM while their
/// target leaves them unanswered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The maximum number of flows that are remembered; further ones are steered
    /// by cookie alone.
    pub max_flows: usize,
    /// How long an opening without an acknowledgement is remembered: longer
    /// than a caller retransmits it.
    pub opening_ttl: Duration,
    /// How long a closed flow is remembered, for late packets.
    pub closed_ttl: Duration,
    /// How long an open flow without packets is remembered, at least.
    pub flow_ttl: Duration,
    /// How long a target stays known after its entry has left the store.
    pub departed_ttl: Duration,
    /// The longest time for which a request counts as in flight.
    pub request_ttl: Duration,
    /// How long a suspected target gets no new flows at first; doubled after
    /// each failed probe.
    pub initial_backoff: Duration,
    /// The longest time for which a suspected target gets no new flows.
    pub max_backoff: Duration,
    /// How long a packet must have been unanswered for its retransmission to
    /// count: less than a caller's first retransmission interval of 200 ms, and
    /// more than the spacing of packets that queued up while this process was
    /// paused.
    pub min_unanswered_time: Duration,
    /// How long a retransmission counts as evidence that a target is
    /// unresponsive: longer than the 1.6 s within which callers retransmit, and
    /// shorter than the 4 s after its end at which the platform's rules take a
    /// network cut as over.
    pub evidence_ttl: Duration,
    /// The number of targets with unanswered packets from which on their
    /// availability zone counts as unresponsive.
    pub zone_unresponsive_targets: u32,
    /// The number of retransmissions to a target, without an answer in between,
    /// after which it counts as unresponsive and its flows may be reset.
    pub reset_retransmissions: u32,
    /// The number of unanswered retransmissions to all targets of a zone
    /// together that is required in addition to `zone_reset_retransmissions`:
    /// one more than `reset_retransmissions`.
    pub zone_unresponsive_retransmissions: u32,
    /// Like `reset_retransmissions`, for a target in an unresponsive
    /// availability zone.
    pub zone_reset_retransmissions: u32,
    /// Like `reset_retransmissions`, for a target whose entry has left the
    /// store.
    pub departed_reset_retransmissions: u32,
    /// The maximum age of a view of the store on which a reset may be based.
    pub max_view_age: Duration,
    /// The same for a reset because a route is missing: less than the 3 s within which a
    /// route that was added must be in force.
    pub max_route_view_age: Duration,
    /// The times from an opening and from each of its copies to the next copy, and from
    /// the last copy to the end of the caller's attempt.
    pub copy_intervals: [Duration; 3],
    /// The maximum number of packets that may wait for a decision.
    pub max_pending: usize,
    /// How long a packet may wait for the first read of the store: a little
    /// less than a caller's timeout for the answer to its opening.
    pub store_read_timeout: Duration,
    /// The longest wait of an opening for admission: less than a caller's first
    /// retransmission interval of 200 ms, as an opening of which a copy may have
    /// passed elsewhere can't be refused truthfully.
    pub capacity_timeout: Duration,
    /// The time since its arrival within which an opening can be refused truthfully:
    /// less than a caller's first retransmission interval of 200 ms.
    pub refusal_window: Duration,
    /// The time between two packets or ticks from which on this process was paused:
    /// a little more than the interval of ticks. Response times that include a pause show
    /// nothing of the targets, and packets that are read within as long after it may
    /// have arrived before.
    pub pause: Duration,
    /// How long an opening without an answer, a copy or a closing packet counts as a
    /// request in flight: its target has probably refused it, without this entry VM
    /// seeing the answer. Longer than a caller's first retransmission interval.
    pub opening_answer_timeout: Duration,
    /// How long the first request of a flow counts against the limit of its service
    /// without a packet of its caller: its target has probably reset it, without this
    /// entry VM seeing that. Longer than a response takes that is in time.
    pub first_request_timeout: Duration,
    /// How long an opening waits for admission that can't be refused, because a copy
    /// of it may have passed elsewhere: the time that callers wait for an answer to
    /// their last copy.
    pub copy_timeout: Duration,
    /// The number of requests in flight from this entry VM, per slot of a target,
    /// from which on the target is full: openings wait while all trusted targets
    /// are. Less than a target's slots and its queue together take.
    pub full_per_slot: f32,
    /// The number of requests in flight from this entry VM, per slot of a target,
    /// from which on the target gets flows only if no trusted target is below
    /// this limit.
    pub busy_per_slot: f32,
    /// The weight of an open flow in a target's load, in requests in flight.
    pub flow_weight: f32,
    /// The weight of a request of the last second, in requests in flight.
    pub rate_weight: f32,
    /// The weight of a target's delay, the excess of its latest response times over the
    /// service's usual one as a multiple of the latter, in requests in flight for each
    /// slot.
    pub delay_weight: f32,
    /// The minimum penalty of targets in other availability zones, in requests
    /// in flight.
    pub zone_penalty: f32,
    /// The additional penalty of targets in other zones while the local zone
    /// answers as fast as usual, as a multiple of the mean load of the local
    /// zone's targets. Above 1 no flow leaves a zone whose targets are equally
    /// busy.
    pub zone_preference: f32,
    /// The fraction of the local zone's flows that stays there if all zones have
    /// equally many slots; it is proportional to the local zone's share of the
    /// slots.
    pub local_share: f32,
    /// By how much the slowdown of the local zone may exceed that of another
    /// zone before flows leave it: more than the noise of
    /// [`super::ResponseTimes`].
    pub slowdown_tolerance: f32,
    /// The excess of slowdown beyond `slowdown_tolerance` at which the
    /// preference for the local zone has fallen to zero.
    pub slowdown_range: f32,
    /// The factor on the load of a target that is warming up.
    pub warmup_factor: f32,
    /// Parameters of admission.
    pub admission: AdmissionOptions,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_flows: 65_536,
            opening_ttl: Duration::from_millis(2_500),
            closed_ttl: Duration::from_millis(2_000),
            flow_ttl: Duration::from_secs(60),
            departed_ttl: Duration::from_secs(75),
            request_ttl: Duration::from_millis(2_500),
            initial_backoff: Duration::from_millis(1_500),
            max_backoff: Duration::from_millis(6_000),
            min_unanswered_time: Duration::from_millis(150),
            evidence_ttl: Duration::from_millis(2_000),
            zone_unresponsive_targets: 2,
            reset_retransmissions: 3,
            zone_unresponsive_retransmissions: 4,
            zone_reset_retransmissions: 2,
            departed_reset_retransmissions: 2,
            max_view_age: Duration::from_millis(4_000),
            max_route_view_age: Duration::from_millis(2_500),
            copy_intervals: [200, 400, 800].map(Duration::from_millis),
            max_pending: 1_024,
            store_read_timeout: Duration::from_millis(1_200),
            capacity_timeout: Duration::from_millis(150),
            refusal_window: Duration::from_millis(190),
            pause: Duration::from_millis(300),
            opening_answer_timeout: Duration::from_millis(350),
            first_request_timeout: Duration::from_millis(600),
            copy_timeout: Duration::from_millis(800),
            full_per_slot: 3.0,
            busy_per_slot: 2.0,
            flow_weight: 0.15,
            rate_weight: 0.3,
            delay_weight: 0.5,
            zone_penalty: 0.3,
            zone_preference: 2.0,
            local_share: 0.85,
            slowdown_tolerance: 0.3,
            slowdown_range: 0.6,
            warmup_factor: 1.6,
            admission: AdmissionOptions::default(),
        }
    }
}
