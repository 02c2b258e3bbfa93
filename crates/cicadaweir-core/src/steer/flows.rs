//! What the callers' packets show of the flows that pass here.

use hashbrown::HashMap;

use crate::{
    catalog::TargetKey,
    flow::FlowKey,
    packet::PacketKind,
    time::{Duration, Instant},
};

use super::{Options, RequestKind, Segment};

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowPhase {
    /// Its opening was placed.
    Opening,
    /// Its caller has acknowledged the target's answer.
    Open,
    /// Its caller has closed or reset it.
    Closed,
}

/// What is remembered of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowState {
    /// The target of the flow.
    pub target: TargetKey,
    /// How far it has come.
    pub phase: FlowPhase,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// When its opening, or its first packet here, was seen.
    pub since: Instant,
    /// When the first of its openings was seen.
    pub first_opening: Instant,
    /// When its last packet was seen.
    pub last_packet: Instant,
    /// When the request that is in flight was first sent, if one is.
    pub request_since: Option<Instant>,
    /// When the flow's caller first sent something that it then had to repeat.
    pub stalled_since: Option<Instant>,
    ack: u32,
    sequence: u32,
    sequence_at: Instant,
}

/// What a packet says about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// The target has answered something that was sent at this time. An answer
    /// counts from the flow's packet before, since the flow may have passed
    /// other entry VMs meanwhile.
    pub answered: Option<Instant>,
    /// The caller repeats what it first sent at this time.
    pub repeated: Option<Instant>,
    /// A request begins.
    pub request_started: bool,
    /// The request in flight has ended.
    pub request_ended: bool,
    /// The opening was answered after this time.
    pub opening_took: Option<Duration>,
    /// The request in flight was answered after this time.
    pub request_took: Option<Duration>,
    /// The flow ends with this packet.
    pub closed: bool,
}

/// The flows that pass this entry VM.
#[derive(Debug, Default)]
pub struct Flows {
    flows: HashMap<FlowKey, FlowState>,
}

impl FlowState {
    /// Makes the state of a flow whose opening is being placed.
    pub fn opening(target: TargetKey, kind: RequestKind, now: Instant) -> Self {
        Self {
            target,
            phase: FlowPhase::Opening,
            kind,
            since: now,
            first_opening: now,
            last_packet: now,
            request_since: Some(now),
            stalled_since: None,
            ack: 0,
            sequence: 0,
            sequence_at: now,
        }
    }

    /// Makes the state of a flow that another entry VM has placed.
    pub fn adopted(target: TargetKey, kind: RequestKind, segment: &Segment, now: Instant) -> Self {
        Self {
            phase: FlowPhase::Open,
            request_since: None,
            ack: segment.ack,
            sequence: segment.sequence.wrapping_sub(1),
            ..Self::opening(target, kind, now)
        }
    }

    /// Takes in a packet that isn't an opening.
    pub fn observe(&mut self, segment: &Segment, now: Instant) -> Progress {
        let mut progress = Progress::default();
        let before = std::mem::replace(&mut self.last_packet, now);
        let opened = self.phase == FlowPhase::Opening;
        let advanced = segment.ack.wrapping_sub(self.ack) as i32 > 0;
        if opened {
            self.phase = FlowPhase::Open;
            self.ack = segment.ack;
            self.sequence = segment.sequence.wrapping_sub(1);
            progress.answered = Some(self.first_opening);
            progress.opening_took = Some(now.since(self.first_opening));
        } else if advanced {
            self.ack = segment.ack;
            progress.answered = Some(before);
        }
        if progress.answered.is_some() {
            self.stalled_since = None;
        }
        if advanced
            && !opened
            && let Some(since) = self.request_since.take()
        {
            progress.request_took = Some(now.since(since));
            progress.request_ended = true;
        }
        match segment.kind {
            PacketKind::Data => self.data(segment, now, &mut progress),
            PacketKind::Closing | PacketKind::Reset if self.phase != FlowPhase::Closed => {
                self.phase = FlowPhase::Closed;
                progress.closed = true;
                progress.request_ended |= self.request_since.take().is_some();
            }
            _ => {}
        }
        progress
    }

    fn data(&mut self, segment: &Segment, now: Instant, progress: &mut Progress) {
        let newer = segment.sequence.wrapping_sub(self.sequence) as i32 > 0;
        if newer {
            self.sequence = segment.sequence;
            self.sequence_at = now;
            if self.request_since.is_none() {
                self.request_since = Some(now);
                progress.request_started = true;
            }
        } else if segment.sequence == self.sequence {
            let first = *self.stalled_since.get_or_insert(self.sequence_at);
            progress.repeated = Some(first);
        }
    }
}

impl Flows {
    /// Returns a flow.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut FlowState> {
        self.flows.get_mut(flow)
    }

    /// Remembers a flow if there is room. Returns whether there was.
    pub fn insert(&mut self, flow: FlowKey, state: FlowState, most: usize) -> bool {
        let fits = self.flows.len() < most || self.flows.contains_key(&flow);
        if fits {
            self.flows.insert(flow, state);
        }
        fits
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<FlowState> {
        self.flows.remove(flow)
    }

    /// Forgets flows that have ended or are idle, and requests that nobody
    /// waits for; `each` gets what was forgotten.
    pub fn expire(
        &mut self,
        now: Instant,
        idle: Duration,
        options: &Options,
        mut each: impl FnMut(&FlowState, Expired),
    ) {
        self.flows.retain(|_, flow| {
            let quiet = now.since(flow.last_packet);
            let memory = match flow.phase {
                FlowPhase::Opening => options.opening_memory,
                FlowPhase::Open => idle,
                FlowPhase::Closed => options.closed_memory,
            };
            if quiet > memory {
                each(flow, Expired::Flow);
                return false;
            }
            let waited = flow
                .request_since
                .is_some_and(|at| now.since(at) > options.request_memory);
            if waited && quiet > options.request_memory {
                flow.request_since = None;
                each(flow, Expired::Request);
            }
            true
        });
    }

    /// Returns how many flows are remembered.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

/// What [`Flows::expire`] has forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// The whole flow, with its request if one was in flight.
    Flow,
    /// Only its request.
    Request,
}
