//! State of the flows that pass through this entry VM, from callers' packets.

use hashbrown::HashMap;

use crate::{
    catalog::TargetKey,
    flow::FlowKey,
    packet::PacketKind,
    time::{Duration, Instant},
};

use super::{Options, RequestKind, Segment};

/// The bytes that one end of a flow has in flight at most: 16 packets of 1,200 bytes.
const MAX_BYTES_IN_FLIGHT: u32 = 16 * 1_200;

/// The largest distance from the last sequence number that was seen of one end of an
/// open flow to a later one of the same flow, in bytes. The packets in between may have
/// passed through other entry VMs. Two flows with random initial sequence numbers are
/// that close at both ends once in four million times.
const MAX_UNSEEN_BYTES: u32 = 1 << 20;

/// The phase of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowPhase {
    /// The opening was placed.
    Opening,
    /// The caller has acknowledged the target's answer to the opening.
    Open,
    /// The caller has closed or reset the flow.
    Closed,
}

/// The state of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowState {
    /// The target of the flow.
    pub target: TargetKey,
    /// The flow's phase.
    pub phase: FlowPhase,
    /// The kind of its requests.
    pub kind: RequestKind,
    /// When this entry VM saw the latest opening, or the first packet of an
    /// adopted flow.
    pub since: Instant,
    /// When this entry VM saw the first opening.
    pub first_opening: Instant,
    /// When this entry VM saw the last packet.
    pub last_packet: Instant,
    /// When the request in flight was first sent; none without one.
    pub request_since: Option<Instant>,
    /// When the caller first sent the data that it now retransmits; none if the
    /// target has answered since.
    pub unanswered_since: Option<Instant>,
    /// Whether a packet of the request in flight was sent again.
    pub was_retransmitted: bool,
    /// Whether the request in flight is the first of a flow that was placed here.
    pub is_first: bool,
    /// Whether neither an answer nor a copy has followed the opening in time.
    pub is_lost: bool,
    /// The sequence number of the opening; none for an adopted flow.
    opening_sequence: Option<u32>,
    ack: u32,
    sequence: u32,
    sequence_at: Instant,
}

/// What a packet shows about its flow and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// The target has answered a packet that was sent at this time.
    ///
    /// In an open flow this is the time of its previous packet at this entry VM:
    /// the flow may have passed through other entry VMs since, so the answer
    /// doesn't show that the target answers later packets.
    pub answered: Option<Instant>,
    /// The caller retransmits data that it first sent at this time.
    pub retransmitted: Option<Instant>,
    /// A request starts with this packet.
    pub request_started: bool,
    /// The request in flight was answered, or its flow was closed.
    pub request_ended: bool,
    /// The request that ended was the first of a flow that was placed here.
    pub first_ended: bool,
    /// The time from the first opening to the acknowledgement of its answer.
    pub opening_took: Option<Duration>,
    /// The time from the request to the acknowledgement of its response.
    pub request_took: Option<Duration>,
    /// A packet of the request was sent again, so that its time shows a loss or a cut
    /// rather than a queue (Karn's algorithm).
    pub was_retransmitted: bool,
    /// The packet closes or resets the flow.
    pub closed: bool,
}

/// The flows that this entry VM remembers.
#[derive(Debug, Default)]
pub struct Flows {
    flows: HashMap<FlowKey, FlowState>,
}

impl FlowState {
    /// Creates the state of a flow whose opening is being placed.
    pub fn opening(target: TargetKey, kind: RequestKind, segment: &Segment, now: Instant) -> Self {
        Self {
            target,
            phase: FlowPhase::Opening,
            kind,
            since: now,
            first_opening: now,
            last_packet: now,
            request_since: Some(now),
            unanswered_since: None,
            was_retransmitted: segment.copy > 0,
            is_first: true,
            is_lost: false,
            opening_sequence: Some(segment.sequence),
            ack: 0,
            sequence: 0,
            sequence_at: now,
        }
    }

    /// Creates the state of a flow that another entry VM has placed.
    pub fn adopted(target: TargetKey, kind: RequestKind, segment: &Segment, now: Instant) -> Self {
        Self {
            phase: FlowPhase::Open,
            request_since: None,
            // The entry VM that placed the flow may have seen earlier copies.
            was_retransmitted: true,
            is_first: false,
            opening_sequence: None,
            ack: segment.ack,
            sequence: segment.sequence.wrapping_sub(1),
            ..Self::opening(target, kind, segment, now)
        }
    }

    /// Returns whether a packet belongs to this flow, rather than to an earlier or a later
    /// one between the same addresses and ports.
    ///
    /// An opening belongs to the flow if it is a copy of the flow's own opening. Any other
    /// packet does if the sequence numbers of both ends continue those of the flow. The
    /// target's is unknown before the flow is open, and a reset doesn't need to state it.
    pub fn includes(&self, segment: &Segment) -> bool {
        match (segment.kind, self.phase, self.opening_sequence) {
            (PacketKind::Opening, _, Some(opening)) => segment.sequence == opening,
            (PacketKind::Opening, _, None) => {
                self.sequence.wrapping_sub(segment.sequence) <= MAX_UNSEEN_BYTES
            }
            (_, FlowPhase::Opening, opening) => opening.is_none_or(|opening| {
                segment.sequence.wrapping_sub(opening) <= MAX_BYTES_IN_FLIGHT
            }),
            (PacketKind::Reset, ..) => continues(self.sequence, segment.sequence),
            _ => continues(self.sequence, segment.sequence) && continues(self.ack, segment.ack),
        }
    }

    /// Updates the state with a packet that isn't an opening.
    pub fn observe(&mut self, segment: &Segment, now: Instant) -> Progress {
        let mut progress = Progress::default();
        let previous_packet = std::mem::replace(&mut self.last_packet, now);
        let was_opening = self.phase == FlowPhase::Opening;
        let advanced = segment.ack.wrapping_sub(self.ack) as i32 > 0;
        progress.was_retransmitted = self.was_retransmitted;
        if was_opening {
            self.phase = FlowPhase::Open;
            self.ack = segment.ack;
            self.sequence = segment.sequence.wrapping_sub(1);
            progress.answered = Some(self.first_opening);
            progress.opening_took = Some(now.since(self.first_opening));
        } else if advanced {
            self.ack = segment.ack;
            progress.answered = Some(previous_packet);
        }
        if progress.answered.is_some() {
            self.unanswered_since = None;
        }
        if advanced
            && !was_opening
            && let Some(since) = self.request_since.take()
        {
            progress.request_took = Some(now.since(since));
            progress.request_ended = true;
        }
        if progress.request_ended {
            self.was_retransmitted = false;
            progress.first_ended = std::mem::take(&mut self.is_first);
        }
        match segment.kind {
            PacketKind::Data => self.observe_data(segment, now, &mut progress),
            PacketKind::Closing | PacketKind::Reset if self.phase != FlowPhase::Closed => {
                self.phase = FlowPhase::Closed;
                progress.closed = true;
                progress.request_ended |= self.request_since.take().is_some();
                progress.first_ended |= std::mem::take(&mut self.is_first);
            }
            _ => {}
        }
        progress
    }

    fn observe_data(&mut self, segment: &Segment, now: Instant, progress: &mut Progress) {
        let is_new = segment.sequence.wrapping_sub(self.sequence) as i32 > 0;
        if is_new {
            self.sequence = segment.sequence;
            self.sequence_at = now;
            if self.request_since.is_none() {
                self.request_since = Some(now);
                progress.request_started = true;
            }
        } else if segment.sequence == self.sequence {
            self.was_retransmitted = true;
            let first_sent = *self.unanswered_since.get_or_insert(self.sequence_at);
            progress.retransmitted = Some(first_sent);
        }
    }
}

/// Returns whether a sequence number may follow, or have been overtaken by, the last one
/// that was seen of the same end of a flow.
const fn continues(last: u32, sequence: u32) -> bool {
    sequence.wrapping_sub(last.wrapping_sub(MAX_BYTES_IN_FLIGHT))
        <= MAX_BYTES_IN_FLIGHT + MAX_UNSEEN_BYTES
}

impl Flows {
    /// Returns the state of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&FlowState> {
        self.flows.get(flow)
    }

    /// Returns the state of a flow for an update.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut FlowState> {
        self.flows.get_mut(flow)
    }

    /// Stores the state of a flow unless `max` other flows are stored. Returns
    /// whether it was stored.
    pub fn insert(&mut self, flow: FlowKey, state: FlowState, max: usize) -> bool {
        let fits = self.flows.len() < max || self.flows.contains_key(&flow);
        if fits {
            self.flows.insert(flow, state);
        }
        fits
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<FlowState> {
        self.flows.remove(flow)
    }

    /// Removes all flows of a target.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.flows.retain(|_, flow| flow.target != target);
    }

    /// Removes flows that have ended or were idle for longer than `idle`, and
    /// requests whose callers have timed out; calls `each` for each of them.
    pub fn expire(
        &mut self,
        now: Instant,
        idle: Duration,
        options: &Options,
        mut each: impl FnMut(&FlowState, Expired),
    ) {
        self.flows.retain(|_, flow| {
            let idle_time = now.since(flow.last_packet);
            let ttl = match flow.phase {
                FlowPhase::Opening => options.opening_ttl,
                FlowPhase::Open => idle,
                FlowPhase::Closed => options.closed_ttl,
            };
            if idle_time > ttl {
                each(flow, Expired::Flow);
                return false;
            }
            let is_unanswered = flow.phase == FlowPhase::Opening
                && !flow.is_lost
                && idle_time > options.opening_answer_timeout;
            if is_unanswered {
                flow.is_lost = true;
                flow.request_since = None;
                each(flow, Expired::Opening);
                flow.is_first = false;
            }
            if flow.is_first
                && flow.phase == FlowPhase::Open
                && idle_time > options.first_request_timeout
            {
                each(flow, Expired::First);
                flow.is_first = false;
            }
            let timed_out = flow
                .request_since
                .is_some_and(|at| now.since(at) > options.request_ttl);
            if timed_out && idle_time > options.request_ttl {
                flow.request_since = None;
                each(flow, Expired::Request);
                flow.is_first = false;
            }
            true
        });
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

/// What [`Flows::expire`] has removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// The whole flow, with its request if one was in flight.
    Flow,
    /// Only the flow's request in flight.
    Request,
    /// The first request of a flow, for the limit of its service alone: its caller has
    /// sent nothing for long.
    First,
    /// The request in flight of an opening that neither an answer nor a copy has
    /// followed: its target has probably refused it.
    Opening,
}
