//! The application on a target.
//!
//! A request is a text: `IDENTITY WORK_MICROS ANSWER_PACKETS`. It takes a
//! slot for its work, then its answer follows in so many packets, each of
//! which begins with `IDENTITY SERVICE TARGET NUMBER`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use cicadaweir_core::flow::Protocol;
use indexmap::IndexMap;

use crate::segment::{Flags, Segment};

/// The length of an answer packet's payload, in bytes.
const ANSWER_BYTES: usize = 1_000;

/// A request that waits or is at work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The segment that brought it.
    pub segment: Segment,
    /// The identity that the caller gave it.
    pub identity: u64,
    /// How long it takes a slot.
    pub work: Duration,
    /// How many packets its answer has.
    pub packets: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Connection {
    sequence: u32,
}

/// The state of a target.
#[derive(Debug)]
pub struct App {
    service: String,
    name: String,
    most_connections: usize,
    slots: usize,
    connections: IndexMap<(std::net::SocketAddr, std::net::SocketAddr), Connection>,
    waiting: VecDeque<Request>,
    working: BTreeMap<(Instant, u64), Request>,
    /// Requests that came, and whether they are completed.
    requests: IndexMap<u64, bool>,
    /// Requests that came again.
    pub repeated: u64,
    /// Requests that were started.
    pub started: u64,
    /// Requests that were completed.
    pub completed: u64,
    /// Whether openings are accepted and nothing else is answered.
    pub mute: bool,
    /// Whether no new work is asked for.
    pub draining: bool,
}

impl App {
    /// Makes a target without connections.
    pub fn new(service: String, name: String, most_connections: usize, slots: usize) -> Self {
        Self {
            service,
            name,
            most_connections,
            slots,
            connections: IndexMap::new(),
            waiting: VecDeque::new(),
            working: BTreeMap::new(),
            requests: IndexMap::new(),
            repeated: 0,
            started: 0,
            completed: 0,
            mute: false,
            draining: false,
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of requests at work and waiting.
    pub fn pending(&self) -> usize {
        self.waiting.len() + self.working.len()
    }

    /// Takes a packet and appends the answers.
    pub fn packet(&mut self, now: Instant, segment: Segment, out: &mut Vec<Segment>) {
        match segment.protocol {
            Protocol::Udp => self.request(segment, out),
            Protocol::Tcp => self.tcp(segment, out),
        }
        self.start_work(now);
    }

    fn tcp(&mut self, segment: Segment, out: &mut Vec<Segment>) {
        let key = (segment.source, segment.destination);
        if segment.flags.syn {
            return self.open_connection(&segment, out);
        }
        if segment.flags.rst {
            self.connections.shift_remove(&key);
            return;
        }
        let Some(connection) = self.connections.get(&key) else {
            return out.push(reset(&segment));
        };
        if segment.flags.fin {
            let mut answer = segment.answer(connection.sequence);
            answer.flags.fin = true;
            self.connections.shift_remove(&key);
            return out.push(answer);
        }
        if !segment.payload.is_empty() {
            self.request(segment, out);
        }
    }

    fn open_connection(&mut self, segment: &Segment, out: &mut Vec<Segment>) {
        let key = (segment.source, segment.destination);
        let full = self.connections.len() >= self.most_connections;
        if full && !self.connections.contains_key(&key) {
            return out.push(reset(segment));
        }
        self.connections.entry(key).or_insert(Connection {
            sequence: segment.sequence.wrapping_add(1 << 20),
        });
        let mut answer = segment.answer(segment.sequence.wrapping_add((1 << 20) - 1));
        answer.flags.syn = true;
        out.push(answer);
    }

    /// Returns the identities of the requests that came here.
    pub fn requests(&self) -> impl Iterator<Item = u64> {
        self.requests.keys().copied()
    }

    /// Queues a request; one that came before is not run again, and its answer
    /// is repeated.
    fn request(&mut self, segment: Segment, out: &mut Vec<Segment>) {
        let Some(request) = parse(segment).filter(|_| !self.mute) else {
            return;
        };
        match self.requests.get(&request.identity) {
            Some(&completed) => {
                self.repeated += 1;
                if completed {
                    self.answer(&request, out);
                }
            }
            None => {
                self.requests.insert(request.identity, false);
                self.waiting.push_back(request);
            }
        }
    }

    fn start_work(&mut self, now: Instant) {
        while self.working.len() < self.slots {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            self.started += 1;
            let key = (now + request.work, request.identity);
            self.working.insert(key, request);
        }
    }

    /// Completes the work that is due and appends the answers.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Segment>) {
        while let Some(entry) = self.working.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let request = entry.remove();
            self.completed += 1;
            self.requests.insert(request.identity, true);
            self.answer(&request, out);
            self.start_work(now);
        }
    }

    fn answer(&mut self, request: &Request, out: &mut Vec<Segment>) {
        let key = (request.segment.source, request.segment.destination);
        let connection = self.connections.get_mut(&key);
        let sequence = connection.as_ref().map_or(0, |c| c.sequence);
        for number in 0..request.packets {
            let offset = number.wrapping_mul(ANSWER_BYTES as u32);
            let mut answer = request.segment.answer(sequence.wrapping_add(offset));
            let mut payload = format!(
                "{} {} {} {number}\n",
                request.identity, self.service, self.name
            )
            .into_bytes();
            payload.resize(ANSWER_BYTES, b'.');
            answer.payload = payload;
            out.push(answer);
        }
        if let Some(connection) = connection {
            let sent = request.packets.wrapping_mul(ANSWER_BYTES as u32);
            connection.sequence = connection.sequence.wrapping_add(sent);
        }
    }
}

fn parse(segment: Segment) -> Option<Request> {
    let text = std::str::from_utf8(&segment.payload).ok()?;
    let mut words = text.split_whitespace().map(str::parse::<u64>);
    let mut next = || words.next().and_then(Result::ok);
    let (identity, work, packets) = (next()?, next()?, next()?);
    Some(Request {
        identity,
        work: Duration::from_micros(work),
        packets: packets as u32,
        segment,
    })
}

fn reset(segment: &Segment) -> Segment {
    let mut answer = segment.answer(segment.acknowledgement);
    answer.flags = Flags {
        rst: true,
        ack: !segment.flags.ack,
        ..Flags::default()
    };
    answer
}
