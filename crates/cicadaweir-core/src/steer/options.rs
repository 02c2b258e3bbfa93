//! Bounds of steering.

use crate::time::Duration;

/// How flows are remembered, weighed and given up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The most flows that are remembered; further ones go by cookie alone.
    pub max_flows: usize,
    /// How long an opening without an end is remembered: longer than a
    /// caller repeats it.
    pub opening_memory: Duration,
    /// How long a closed flow is remembered, for packets that come late.
    pub closed_memory: Duration,
    /// How long a flow may be open; older ones may be forgotten.
    pub flow_ttl: Duration,
    /// How long a target stays known after its entry has left the store.
    pub departed_memory: Duration,
    /// How long a request counts as in flight at most.
    pub request_memory: Duration,
    /// How long a suspected target is avoided at first.
    pub suspicion_hold: Duration,
    /// The longest time for which a suspected target is avoided.
    pub longest_hold: Duration,
    /// How long something must have gone unanswered for its repetition to
    /// count: less than a caller's first interval of 200 ms, and more than
    /// packets that piled up here while this process stood still are apart.
    pub strike_after: Duration,
    /// How long a strike counts as proof: the platform's rules take a cut as
    /// over for good 4 s after its end, and callers repeat within 1.6 s.
    pub proof_memory: Duration,
    /// Unanswered targets of an availability zone that make it suspected.
    pub zone_targets: u32,
    /// Repetitions without any answer in between after which a target
    /// counts as gone.
    pub certain_strikes: u32,
    /// Repetitions of all of a zone's targets together that the next bound
    /// wants besides: one more than a single target's.
    pub zone_proof_strikes: u32,
    /// The same for a target in an availability zone that is silent as a
    /// whole.
    pub zone_certain_strikes: u32,
    /// The same for a target whose entry has left the store.
    pub departed_strikes: u32,
    /// How recent the view of the store must be for a reset that rests on it.
    pub fresh_view: Duration,
    /// The most packets that may wait for a decision.
    pub max_pending: usize,
    /// How long a packet may wait for the first view of the store: a little
    /// less than a caller waits for the answer to its opening.
    pub view_patience: Duration,
    /// How long an opening may wait for room at a target.
    pub room_patience: Duration,
    /// Requests in flight from this entry VM at which a target has enough to
    /// do, for each of its slots: openings wait where all targets have. Less
    /// than a target's slots and its queue together take.
    pub room_per_slot: f32,
    /// The same at which any other trusted target is taken first.
    pub busy_per_slot: f32,
    /// What an open flow weighs in a target's score, in requests in flight.
    pub flow_weight: f32,
    /// What a request of the last second weighs, in requests in flight.
    pub rate_weight: f32,
    /// What another availability zone weighs at least, in requests in flight.
    pub zone_weight: f32,
    /// What another availability zone weighs besides, in mean loads of the own
    /// zone's targets, while the own zone answers as fast as usual. Above 1 no
    /// flow leaves a zone whose targets are equally busy.
    pub zone_preference: f32,
    /// The share of the own zone's demand that stays there, for each zone's
    /// share of all slots.
    pub own_share: f32,
    /// How many times as long as usual the own zone may answer, beyond what
    /// holds for the other zone, before flows leave it: more than the noise
    /// of [`super::AnswerTimes`].
    pub slowdown_tolerance: f32,
    /// Over which span above that the preference falls to nothing.
    pub slowdown_range: f32,
    /// How much more a request weighs on a target that has just started.
    pub warmup_factor: f32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_flows: 65_536,
            opening_memory: Duration::from_millis(2_500),
            closed_memory: Duration::from_millis(2_000),
            flow_ttl: Duration::from_secs(60),
            departed_memory: Duration::from_secs(75),
            request_memory: Duration::from_millis(2_500),
            suspicion_hold: Duration::from_millis(1_500),
            longest_hold: Duration::from_millis(6_000),
            strike_after: Duration::from_millis(150),
            proof_memory: Duration::from_millis(2_000),
            zone_targets: 2,
            certain_strikes: 3,
            zone_proof_strikes: 4,
            zone_certain_strikes: 2,
            departed_strikes: 2,
            fresh_view: Duration::from_millis(4_000),
            max_pending: 1_024,
            view_patience: Duration::from_millis(1_200),
            room_patience: Duration::from_millis(150),
            room_per_slot: 3.0,
            busy_per_slot: 2.0,
            flow_weight: 0.15,
            rate_weight: 0.3,
            zone_weight: 0.3,
            zone_preference: 2.0,
            own_share: 0.85,
            slowdown_tolerance: 0.3,
            slowdown_range: 0.6,
            warmup_factor: 1.6,
        }
    }
}
