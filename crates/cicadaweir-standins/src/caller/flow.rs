//! The flow of one caller.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cicadaweir_core::flow::Protocol;
use indexmap::IndexSet;

use crate::segment::{Flags, Segment};

use super::Tally;

/// The time after which an unanswered opening is retransmitted.
const OPENING_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The number of times an opening is sent before the flow is given up.
const MAX_OPENING_ATTEMPTS: u32 = 5;

/// The time after which an unanswered request is retransmitted.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The time within which a request must be answered completely.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// The maximum number of packets of an answer that counts as short; a longer
/// answer counts as a download.
const MAX_SHORT_ANSWER_PACKETS: u32 = 3;

/// The addresses of a flow and the requests that it sends.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowPlan {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service's address.
    pub address: SocketAddr,
    /// The service name expected in answers.
    pub service: String,
    /// The time between an answer and the next request.
    pub pause: Duration,
    /// How long a request occupies a slot of the target.
    pub work: Duration,
    /// The number of packets of each answer.
    pub packets: u32,
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowEnd {
    /// It was reset before it was established.
    Refused,
    /// Its opening was not answered.
    Unanswered,
    /// It was reset after it was established, or a request was not answered in time.
    Broken,
    /// The caller closed it.
    Closed,
}

#[derive(Debug, Clone)]
struct PendingRequest {
    identity: u64,
    first_sent: Instant,
    last_sent: Instant,
    received_packets: IndexSet<u64>,
}

#[derive(Debug, Clone)]
enum State {
    Opening { attempts: u32, sent: Instant },
    Idle { until: Instant },
    AwaitingAnswer(PendingRequest),
    Ended(FlowEnd),
}

/// One caller's flow.
#[derive(Debug, Clone)]
pub struct CallerFlow {
    plan: FlowPlan,
    state: State,
    sequence: u32,
    acknowledged: u32,
    requests_sent: u64,
    identity_base: u64,
    target: Option<String>,
}

impl CallerFlow {
    /// Creates a flow and appends its opening, if the protocol has one, to
    /// `out`. Requests get the identities from `identity_base` on, which must
    /// be unique to the flow.
    pub fn open(plan: FlowPlan, identity_base: u64, now: Instant, out: &mut Vec<Segment>) -> Self {
        let state = match plan.protocol {
            Protocol::Tcp => State::Opening {
                attempts: 1,
                sent: now,
            },
            Protocol::Udp => State::Idle { until: now },
        };
        let flow = Self {
            plan,
            state,
            sequence: identity_base as u32,
            acknowledged: 0,
            requests_sent: 0,
            identity_base,
            target: None,
        };
        if matches!(flow.state, State::Opening { .. }) {
            out.push(flow.opening_segment());
        }
        flow
    }

    /// Returns how the flow ended, or `None` if it has not.
    pub const fn end(&self) -> Option<FlowEnd> {
        match self.state {
            State::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Returns whether the flow may send requests: it is established and has not
    /// ended. A UDP flow is open from the start.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Idle { .. } | State::AwaitingAnswer(_))
    }

    /// Returns the name of the target that answered the last request.
    pub fn target(&self) -> Option<&str> {
        self.target.as_deref()
    }

    fn opening_segment(&self) -> Segment {
        Segment {
            flags: Flags {
                syn: true,
                ..Flags::default()
            },
            sequence: self.sequence,
            ..Segment::new(self.plan.protocol, self.plan.caller, self.plan.address)
        }
    }

    fn request_segment(&self, identity: u64) -> Segment {
        let work = self.plan.work.as_micros();
        let is_tcp = self.plan.protocol == Protocol::Tcp;
        Segment {
            flags: Flags {
                ack: is_tcp,
                ..Flags::default()
            },
            sequence: self.sequence,
            acknowledgement: self.acknowledged,
            payload: format!("{identity} {work} {}", self.plan.packets).into_bytes(),
            ..Segment::new(self.plan.protocol, self.plan.caller, self.plan.address)
        }
    }

    /// Handles a received segment of this flow.
    pub fn handle_segment(&mut self, now: Instant, segment: &Segment, tally: &mut Tally) {
        if segment.flags.rst {
            return self.handle_reset(tally);
        }
        if segment.flags.syn {
            if matches!(self.state, State::Opening { .. }) {
                self.sequence = segment.acknowledgement;
                self.acknowledged = segment.sequence.wrapping_add(1);
                self.state = State::Idle { until: now };
                tally.opened += 1;
            }
            return;
        }
        if !segment.payload.is_empty() {
            self.handle_answer(now, segment, tally);
        }
    }

    fn handle_reset(&mut self, tally: &mut Tally) {
        self.state = match self.state {
            State::Opening { .. } => {
                tally.refused += 1;
                State::Ended(FlowEnd::Refused)
            }
            State::Idle { .. } | State::AwaitingAnswer(_) => {
                tally.broken += 1;
                State::Ended(FlowEnd::Broken)
            }
            State::Ended(end) => State::Ended(end),
        };
    }

    fn handle_answer(&mut self, now: Instant, segment: &Segment, tally: &mut Tally) {
        let text = String::from_utf8_lossy(&segment.payload);
        let line = text.lines().next().unwrap_or_default();
        let words: Vec<&str> = line.split(' ').collect();
        let &[identity, service, target, number] = words.as_slice() else {
            return;
        };
        if service != self.plan.service {
            tally.wrong_service += 1;
        }
        let State::AwaitingAnswer(pending) = &mut self.state else {
            return;
        };
        if identity != pending.identity.to_string() {
            let own = identity.parse::<u64>().is_ok_and(|id| {
                (self.identity_base..self.identity_base + self.requests_sent).contains(&id)
            });
            tally.wrong_answer += u64::from(!own);
            return;
        }
        pending
            .received_packets
            .insert(number.parse().unwrap_or(u64::MAX));
        if pending.received_packets.len() < self.plan.packets as usize {
            return;
        }
        tally.answered += 1;
        let micros = now.duration_since(pending.first_sent).as_micros() as u64;
        if self.plan.packets <= MAX_SHORT_ANSWER_PACKETS {
            tally.latency.saturating_record(micros);
        } else {
            tally.download_latency.saturating_record(micros);
        }
        if self.target.as_deref().is_some_and(|t| t != target) {
            tally.moved += 1;
        }
        self.target = Some(target.to_owned());
        if self.plan.protocol == Protocol::Tcp {
            self.sequence = segment.acknowledgement;
        }
        self.state = State::Idle {
            until: now + self.plan.pause,
        };
    }

    /// Sends due retransmissions and requests to `out`, and ends the flow on a
    /// timeout.
    pub fn tick(&mut self, now: Instant, tally: &mut Tally, out: &mut Vec<Segment>) {
        match &mut self.state {
            State::Opening { attempts, sent } => {
                if now.duration_since(*sent) < OPENING_RETRY_INTERVAL {
                    return;
                }
                if *attempts >= MAX_OPENING_ATTEMPTS {
                    tally.unanswered += 1;
                    self.state = State::Ended(FlowEnd::Unanswered);
                    return;
                }
                *attempts += 1;
                *sent = now;
                out.push(self.opening_segment());
            }
            State::Idle { until } if now >= *until => {
                let identity = self.identity_base + self.requests_sent;
                self.requests_sent += 1;
                out.push(self.request_segment(identity));
                self.state = State::AwaitingAnswer(PendingRequest {
                    identity,
                    first_sent: now,
                    last_sent: now,
                    received_packets: IndexSet::new(),
                });
            }
            State::Idle { .. } | State::Ended(_) => {}
            State::AwaitingAnswer(pending) => {
                if now.duration_since(pending.first_sent) >= REQUEST_TIMEOUT {
                    tally.late += 1;
                    tally.broken += 1;
                    self.state = State::Ended(FlowEnd::Broken);
                } else if now.duration_since(pending.last_sent) >= REQUEST_RETRY_INTERVAL {
                    pending.last_sent = now;
                    let identity = pending.identity;
                    out.push(self.request_segment(identity));
                }
            }
        }
    }

    /// Closes the flow; returns the closing segment if it is an open TCP flow.
    pub fn close(&mut self) -> Option<Segment> {
        let open = self.is_open();
        self.state = State::Ended(FlowEnd::Closed);
        (open && self.plan.protocol == Protocol::Tcp).then(|| Segment {
            flags: Flags {
                ack: true,
                fin: true,
                ..Flags::default()
            },
            sequence: self.sequence,
            acknowledgement: self.acknowledged,
            ..Segment::new(Protocol::Tcp, self.plan.caller, self.plan.address)
        })
    }
}
