//! Callers, each with one flow.

use std::time::{Duration, Instant};

use cicadaweir_standins::steered::{ACK, FIN, HeaderFields, ROUTE_PORT, RST, SYN, packet_with};

/// The times after the first opening at which it is retransmitted.
const OPENING_RETRANSMISSIONS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];

/// The time after which an unanswered opening is given up.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// The time after which an unanswered request is given up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The time between an answer and the next request of a flow.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The time between an answer and the next request of the flows that pause: longer than the
/// rules take to hold again for a daemon that was disturbed.
const LONG_REQUEST_INTERVAL: Duration = Duration::from_millis(5_500);

/// The number of requests of a flow, and of one that pauses.
const REQUESTS_PER_FLOW: u32 = 12;
const REQUESTS_PER_PAUSING_FLOW: u32 = 2;

/// The progress of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening was sent this number of times and is unanswered.
    Opening(u32),
    /// The flow is open; no request is in flight.
    Idle,
    /// A request was sent this number of times and is unanswered.
    AwaitingAnswer(u32),
    /// The flow has ended.
    Ended,
}

/// An event on the flow of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowEvent {
    /// The flow was opened.
    Opened,
    /// A request was answered.
    Answered,
    /// The opening or a request timed out, or the opening was reset.
    GivenUp,
    /// The flow's target reset the open flow.
    ResetByTarget,
    /// Another target than the flow's reset it; contains both.
    ResetByOtherTarget(u8, u8),
    /// A daemon reset the flow, which was open at this target.
    ResetByDaemon(u8),
    /// A request was answered by another target; contains the target of the flow
    /// and the one that answered.
    Moved(u8, u8),
}

/// A caller and its flow.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The port of the caller.
    pub port: u16,
    /// The progress of the flow.
    pub stage: Stage,
    /// The number of the daemon to which the last packet was sent.
    pub daemon: u8,
    target: u8,
    cookie: u32,
    sequence: u32,
    ack: u32,
    /// Whether the caller pauses between its requests.
    pauses: bool,
    answered: u32,
    stage_since: Instant,
    last_sent: Instant,
}

impl Caller {
    /// Creates a caller that opens its flow at the first poll, with this initial sequence
    /// number.
    pub fn new(port: u16, sequence: u32, pauses: bool, now: Instant) -> Self {
        Self {
            port,
            stage: Stage::Opening(0),
            daemon: 0,
            target: 0,
            cookie: 0,
            sequence,
            ack: 0,
            pauses,
            answered: 0,
            stage_since: now,
            last_sent: now,
        }
    }

    /// Returns a packet that is due, or an event if the flow timed out.
    pub fn poll(&mut self, net: u8, now: Instant) -> (Option<Vec<u8>>, Option<FlowEvent>) {
        let waited = now.duration_since(self.stage_since);
        match self.stage {
            Stage::Opening(sent) => {
                if waited >= OPENING_TIMEOUT {
                    self.stage = Stage::Ended;
                    return (None, Some(FlowEvent::GivenUp));
                }
                let due = sent == 0
                    || OPENING_RETRANSMISSIONS
                        .get(sent as usize - 1)
                        .is_some_and(|&at| waited >= at);
                let packet = due.then(|| self.packet(net, SYN, sent, &[]));
                if due {
                    self.stage = Stage::Opening(sent + 1);
                }
                (packet, None)
            }
            Stage::Idle if waited >= self.request_interval() => {
                self.stage = Stage::AwaitingAnswer(1);
                self.stage_since = now;
                self.last_sent = now;
                (Some(self.packet(net, ACK, self.ack, b"request")), None)
            }
            Stage::AwaitingAnswer(_) if waited >= REQUEST_TIMEOUT => {
                self.stage = Stage::Ended;
                (None, Some(FlowEvent::GivenUp))
            }
            // Retransmits after 200 ms, then after 400 ms, then every 800 ms.
            Stage::AwaitingAnswer(sent)
                if now.duration_since(self.last_sent).as_millis() >= 200 << sent.min(3) >> 1 =>
            {
                self.stage = Stage::AwaitingAnswer(sent + 1);
                self.last_sent = now;
                (Some(self.packet(net, ACK, self.ack, b"request")), None)
            }
            _ => (None, None),
        }
    }

    fn request_interval(&self) -> Duration {
        match self.pauses {
            true => LONG_REQUEST_INTERVAL,
            false => REQUEST_INTERVAL,
        }
    }

    fn is_done(&self) -> bool {
        let requests = match self.pauses {
            true => REQUESTS_PER_PAUSING_FLOW,
            false => REQUESTS_PER_FLOW,
        };
        self.answered >= requests
    }

    /// Handles a received packet; returns a packet to send and an event.
    pub fn handle_answer(
        &mut self,
        net: u8,
        answer: &[u8],
        now: Instant,
    ) -> (Option<Vec<u8>>, Option<FlowEvent>) {
        // Resets by daemons carry no keyed checksum (offset 24). Target `n` answers an
        // opening with sequence number `n * 1_000` (offset 12) and a request with `n`
        // as the payload (offset 32).
        let number = |at: usize| {
            u32::from_be_bytes([answer[at], answer[at + 1], answer[at + 2], answer[at + 3]])
        };
        let (flags, from_daemon) = (answer[20], number(24) == 0);
        let target = (number(12) / 1_000) as u8;
        // A packet that lay unread in a paused daemon may be of an earlier flow of this port;
        // what its target answers doesn't belong to this one.
        let is_of_this_flow = from_daemon || number(16) == self.sequence;
        if !is_of_this_flow {
            return (None, None);
        }
        // Each end sends the last cookie that it received on the flow.
        if !from_daemon && flags != RST {
            self.cookie = number(28);
        }
        match (flags, self.stage) {
            (_, Stage::Ended) => (None, None),
            (RST, stage) => {
                self.stage = Stage::Ended;
                let open = !matches!(stage, Stage::Opening(_));
                let event = match (open, from_daemon) {
                    (true, true) => FlowEvent::ResetByDaemon(self.target),
                    (true, false) if target == self.target => FlowEvent::ResetByTarget,
                    (true, false) => FlowEvent::ResetByOtherTarget(self.target, target),
                    (false, _) => FlowEvent::GivenUp,
                };
                (None, Some(event))
            }
            (_, Stage::Opening(_)) if flags == SYN | ACK => {
                self.stage = Stage::Idle;
                self.stage_since = now;
                self.target = target;
                self.sequence = self.sequence.wrapping_add(1);
                self.ack = number(12) + 1;
                (
                    Some(self.packet(net, ACK, self.ack, &[])),
                    Some(FlowEvent::Opened),
                )
            }
            (ACK, Stage::AwaitingAnswer(_)) => {
                let answering_target = answer.get(32).copied().unwrap_or(0);
                if answering_target != self.target {
                    self.stage = Stage::Ended;
                    return (None, Some(FlowEvent::Moved(self.target, answering_target)));
                }
                self.answered += 1;
                self.sequence = self.sequence.wrapping_add(7);
                self.ack += 1;
                self.stage_since = now;
                let flags = match self.is_done() {
                    true => FIN | ACK,
                    false => ACK,
                };
                self.stage = match self.is_done() {
                    true => Stage::Ended,
                    false => Stage::Idle,
                };
                (
                    Some(self.packet(net, flags, self.ack, &[])),
                    Some(FlowEvent::Answered),
                )
            }
            _ => (None, None),
        }
    }

    fn packet(&self, net: u8, flags: u8, ack: u32, data: &[u8]) -> Vec<u8> {
        let header = HeaderFields {
            flags,
            sequence: self.sequence,
            ack,
            cookie: self.cookie,
        };
        packet_with(net, self.port, ROUTE_PORT, header, data)
    }
}
