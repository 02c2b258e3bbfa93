//! Callers, each with one flow, and the routers before the daemons.

use std::time::{Duration, Instant};

use cicadaweir_standins::steered::{ACK, Head, ROUTE_PORT, RST, SYN, packet_with};

/// When an opening is repeated.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When an opening is given up.
const OPENING: Duration = Duration::from_millis(1_400);

/// When a request is given up.
const REQUEST: Duration = Duration::from_millis(2_500);

/// The pause between two requests of a flow.
const PAUSE: Duration = Duration::from_millis(150);

/// Requests of one flow.
const REQUESTS: u32 = 12;

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening was sent this often.
    Opening(u32),
    /// Open, no request in flight.
    Idle,
    /// A request was sent this often.
    Waiting(u32),
    /// Over.
    Over,
}

/// What a caller has noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The flow is open.
    Opened,
    /// A request was answered.
    Answered,
    /// It was given up.
    GivenUp,
    /// Its target reset it.
    ResetByTarget,
    /// A daemon reset it while it was open at this target.
    ResetByDaemon(u8),
    /// Another target answered than the one that it is open at.
    Moved(u8, u8),
}

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Its port.
    pub port: u16,
    /// How far its flow has come.
    pub stage: Stage,
    /// The daemon that took its last packet.
    pub daemon: u8,
    target: u8,
    cookie: u32,
    sequence: u32,
    ack: u32,
    done: u32,
    since: Instant,
    sent: Instant,
}

impl Caller {
    /// Makes a caller that opens a flow at its first look.
    pub fn new(port: u16, now: Instant) -> Self {
        Self {
            port,
            stage: Stage::Opening(0),
            daemon: 0,
            target: 0,
            cookie: 0,
            sequence: 100,
            ack: 0,
            done: 0,
            since: now,
            sent: now,
        }
    }

    /// Returns a packet that is due, or notes that the flow is given up.
    pub fn look(&mut self, net: u8, now: Instant) -> (Option<Vec<u8>>, Option<Notice>) {
        let waited = now.duration_since(self.since);
        match self.stage {
            Stage::Opening(sent) => {
                if waited >= OPENING {
                    self.stage = Stage::Over;
                    return (None, Some(Notice::GivenUp));
                }
                let due = sent == 0
                    || COPIES
                        .get(sent as usize - 1)
                        .is_some_and(|&at| waited >= at);
                let packet = due.then(|| self.packet(net, SYN, sent, &[]));
                if due {
                    self.stage = Stage::Opening(sent + 1);
                }
                (packet, None)
            }
            Stage::Idle if waited >= PAUSE => {
                self.stage = Stage::Waiting(1);
                self.since = now;
                self.sent = now;
                (Some(self.packet(net, ACK, self.ack, b"request")), None)
            }
            Stage::Waiting(_) if waited >= REQUEST => {
                self.stage = Stage::Over;
                (None, Some(Notice::GivenUp))
            }
            Stage::Waiting(sent)
                if now.duration_since(self.sent).as_millis() >= 200 << sent.min(3) >> 1 =>
            {
                self.stage = Stage::Waiting(sent + 1);
                self.sent = now;
                (Some(self.packet(net, ACK, self.ack, b"request")), None)
            }
            _ => (None, None),
        }
    }

    /// Takes an answer; returns a packet to send back and what it shows.
    pub fn take(
        &mut self,
        net: u8,
        answer: &[u8],
        now: Instant,
    ) -> (Option<Vec<u8>>, Option<Notice>) {
        let number = |at: usize| {
            u32::from_be_bytes([answer[at], answer[at + 1], answer[at + 2], answer[at + 3]])
        };
        let (flags, own) = (answer[20], number(24) == 0);
        let from = (number(12) / 1_000) as u8;
        match (flags, self.stage) {
            (_, Stage::Over) => (None, None),
            (RST, stage) => {
                self.stage = Stage::Over;
                let open = !matches!(stage, Stage::Opening(_));
                let notice = match (open, own) {
                    (true, true) => Notice::ResetByDaemon(self.target),
                    (true, false) => Notice::ResetByTarget,
                    (false, _) => Notice::GivenUp,
                };
                (None, Some(notice))
            }
            (_, Stage::Opening(_)) if flags == SYN | ACK => {
                self.stage = Stage::Idle;
                self.since = now;
                self.target = from;
                self.cookie = number(28);
                self.sequence = 101;
                self.ack = number(12) + 1;
                (
                    Some(self.packet(net, ACK, self.ack, &[])),
                    Some(Notice::Opened),
                )
            }
            (ACK, Stage::Waiting(_)) => {
                let answered = answer.get(32).copied().unwrap_or(0);
                if answered != self.target {
                    self.stage = Stage::Over;
                    return (None, Some(Notice::Moved(self.target, answered)));
                }
                self.done += 1;
                self.sequence += 7;
                self.ack += 1;
                self.since = now;
                self.stage = if self.done < REQUESTS {
                    Stage::Idle
                } else {
                    Stage::Over
                };
                (
                    Some(self.packet(net, ACK, self.ack, &[])),
                    Some(Notice::Answered),
                )
            }
            _ => (None, None),
        }
    }

    fn packet(&self, net: u8, flags: u8, ack: u32, data: &[u8]) -> Vec<u8> {
        let head = Head {
            flags,
            sequence: self.sequence,
            ack,
            cookie: self.cookie,
        };
        packet_with(net, self.port, ROUTE_PORT, head, data)
    }
}
