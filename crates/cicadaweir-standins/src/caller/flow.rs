//! One caller's flow.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cicadaweir_core::flow::Protocol;
use indexmap::IndexSet;

use crate::segment::{Flags, Segment};

use super::Tally;

/// How long an opening waits before it is repeated.
const OPENING_RETRY: Duration = Duration::from_millis(500);

/// How often an opening is sent.
const OPENING_TRIES: u32 = 5;

/// How long a request waits before its segment is repeated.
const REQUEST_RETRY: Duration = Duration::from_millis(400);

/// How long a request waits for its whole answer.
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);

/// The most packets of an answer that counts as short.
const SHORT_PACKETS: u32 = 3;

/// What a flow does.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowPlan {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service's address.
    pub address: SocketAddr,
    /// The service's name, expected in answers.
    pub service: String,
    /// The pause between an answer and the next request.
    pub pause: Duration,
    /// How long a request takes a slot.
    pub work: Duration,
    /// How many packets an answer has.
    pub packets: u32,
}

/// How a flow ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was refused.
    Refused,
    /// Its opening was never answered.
    Unanswered,
    /// It was reset, or its target went silent.
    Broken,
    /// It was closed as planned.
    Closed,
}

#[derive(Debug, Clone)]
struct Asked {
    identity: u64,
    since: Instant,
    sent: Instant,
    got: IndexSet<u64>,
}

#[derive(Debug, Clone)]
enum Step {
    Opening { tries: u32, sent: Instant },
    Quiet { until: Instant },
    Waiting(Asked),
    Ended(End),
}

/// One caller's flow.
#[derive(Debug, Clone)]
pub struct CallerFlow {
    plan: FlowPlan,
    step: Step,
    sequence: u32,
    acknowledged: u32,
    asked: u64,
    identity_base: u64,
    target: Option<String>,
}

impl CallerFlow {
    /// Makes a flow and its first packet. `identity_base` keeps its requests
    /// apart from those of all other flows.
    pub fn open(plan: FlowPlan, identity_base: u64, now: Instant, out: &mut Vec<Segment>) -> Self {
        let step = match plan.protocol {
            Protocol::Tcp => Step::Opening {
                tries: 1,
                sent: now,
            },
            Protocol::Udp => Step::Quiet { until: now },
        };
        let flow = Self {
            plan,
            step,
            sequence: identity_base as u32,
            acknowledged: 0,
            asked: 0,
            identity_base,
            target: None,
        };
        if matches!(flow.step, Step::Opening { .. }) {
            out.push(flow.opening());
        }
        flow
    }

    /// Returns how the flow ended, if it has.
    pub const fn end(&self) -> Option<End> {
        match self.step {
            Step::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Returns whether the flow was answered at least once.
    pub const fn is_open(&self) -> bool {
        matches!(self.step, Step::Quiet { .. } | Step::Waiting(_))
    }

    /// Returns the target that answered last.
    pub fn target(&self) -> Option<&str> {
        self.target.as_deref()
    }

    fn opening(&self) -> Segment {
        Segment {
            flags: Flags {
                syn: true,
                ..Flags::default()
            },
            sequence: self.sequence,
            ..Segment::new(self.plan.protocol, self.plan.caller, self.plan.address)
        }
    }

    fn request(&self, identity: u64) -> Segment {
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

    /// Takes a packet for this caller.
    pub fn packet(&mut self, now: Instant, segment: &Segment, tally: &mut Tally) {
        if segment.flags.rst {
            return self.reset(tally);
        }
        if segment.flags.syn {
            if matches!(self.step, Step::Opening { .. }) {
                self.sequence = segment.acknowledgement;
                self.acknowledged = segment.sequence.wrapping_add(1);
                self.step = Step::Quiet { until: now };
                tally.opened += 1;
            }
            return;
        }
        if !segment.payload.is_empty() {
            self.answer(now, segment, tally);
        }
    }

    fn reset(&mut self, tally: &mut Tally) {
        self.step = match self.step {
            Step::Opening { .. } => {
                tally.refused += 1;
                Step::Ended(End::Refused)
            }
            Step::Quiet { .. } | Step::Waiting(_) => {
                tally.broken += 1;
                Step::Ended(End::Broken)
            }
            Step::Ended(end) => Step::Ended(end),
        };
    }

    fn answer(&mut self, now: Instant, segment: &Segment, tally: &mut Tally) {
        let text = String::from_utf8_lossy(&segment.payload);
        let line = text.lines().next().unwrap_or_default();
        let words: Vec<&str> = line.split(' ').collect();
        let &[identity, service, target, number] = words.as_slice() else {
            return;
        };
        if service != self.plan.service {
            tally.wrong_service += 1;
        }
        let Step::Waiting(asked) = &mut self.step else {
            return;
        };
        if identity != asked.identity.to_string() {
            let own = identity
                .parse::<u64>()
                .is_ok_and(|i| (self.identity_base..self.identity_base + self.asked).contains(&i));
            tally.wrong_answer += u64::from(!own);
            return;
        }
        asked.got.insert(number.parse().unwrap_or(u64::MAX));
        if asked.got.len() < self.plan.packets as usize {
            return;
        }
        tally.answered += 1;
        let micros = now.duration_since(asked.since).as_micros() as u64;
        if self.plan.packets <= SHORT_PACKETS {
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
        self.step = Step::Quiet {
            until: now + self.plan.pause,
        };
    }

    /// Lets time pass: repeats, asks, gives up.
    pub fn tick(&mut self, now: Instant, tally: &mut Tally, out: &mut Vec<Segment>) {
        match &mut self.step {
            Step::Opening { tries, sent } => {
                if now.duration_since(*sent) < OPENING_RETRY {
                    return;
                }
                if *tries >= OPENING_TRIES {
                    tally.unanswered += 1;
                    self.step = Step::Ended(End::Unanswered);
                    return;
                }
                *tries += 1;
                *sent = now;
                out.push(self.opening());
            }
            Step::Quiet { until } if now >= *until => {
                let identity = self.identity_base + self.asked;
                self.asked += 1;
                out.push(self.request(identity));
                self.step = Step::Waiting(Asked {
                    identity,
                    since: now,
                    sent: now,
                    got: IndexSet::new(),
                });
            }
            Step::Quiet { .. } | Step::Ended(_) => {}
            Step::Waiting(asked) => {
                if now.duration_since(asked.since) >= REQUEST_DEADLINE {
                    tally.late += 1;
                    tally.broken += 1;
                    self.step = Step::Ended(End::Broken);
                } else if now.duration_since(asked.sent) >= REQUEST_RETRY {
                    asked.sent = now;
                    let identity = asked.identity;
                    out.push(self.request(identity));
                }
            }
        }
    }

    /// Closes the flow and returns its last packet, if it is open.
    pub fn close(&mut self) -> Option<Segment> {
        let open = self.is_open();
        self.step = Step::Ended(End::Closed);
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
