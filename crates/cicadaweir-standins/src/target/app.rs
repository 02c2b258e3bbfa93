//! The application on a target.
//!
//! A request is the text `IDENTITY WORK_MICROS ANSWER_PACKETS`. It occupies a
//! slot for `WORK_MICROS` microseconds; its answer then follows in
//! `ANSWER_PACKETS` packets, each of which begins with
//! `IDENTITY SERVICE TARGET NUMBER`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use cicadaweir_core::flow::Protocol;
use indexmap::IndexMap;

use crate::segment::{Flags, Segment};

/// The payload length of an answer packet, in bytes.
const ANSWER_BYTES: usize = 1_000;

/// A request that is queued or in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The segment that carried the request.
    pub segment: Segment,
    /// The identity that the caller assigned to the request.
    pub identity: u64,
    /// How long the request occupies a slot.
    pub work: Duration,
    /// The number of packets of the answer.
    pub packets: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Connection {
    /// The sequence number of the next answer byte.
    sequence: u32,
}

/// The state of a target.
#[derive(Debug)]
pub struct App {
    service: String,
    name: String,
    max_connections: usize,
    slots: usize,
    /// The open connections, by source and destination address of the caller's
    /// packets.
    connections: IndexMap<(std::net::SocketAddr, std::net::SocketAddr), Connection>,
    queued: VecDeque<Request>,
    /// The requests that occupy a slot, by completion time and identity.
    in_progress: BTreeMap<(Instant, u64), Request>,
    /// Whether each received request is completed, by request identity.
    requests: IndexMap<u64, bool>,
    /// The number of received copies of known requests.
    pub retransmissions: u64,
    /// The number of requests started.
    pub started: u64,
    /// The number of requests completed.
    pub completed: u64,
    /// Whether requests are ignored; connections are still opened and closed.
    pub ignores_requests: bool,
    /// Whether the load endpoint reports the target as draining.
    pub draining: bool,
}

impl App {
    /// Creates a target without connections.
    pub fn new(service: String, name: String, max_connections: usize, slots: usize) -> Self {
        Self {
            service,
            name,
            max_connections,
            slots,
            connections: IndexMap::new(),
            queued: VecDeque::new(),
            in_progress: BTreeMap::new(),
            requests: IndexMap::new(),
            retransmissions: 0,
            started: 0,
            completed: 0,
            ignores_requests: false,
            draining: false,
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of requests in progress and queued.
    pub fn pending(&self) -> usize {
        self.queued.len() + self.in_progress.len()
    }

    /// Handles a received segment and appends the answers to `out`.
    pub fn handle_segment(&mut self, now: Instant, segment: Segment, out: &mut Vec<Segment>) {
        match segment.protocol {
            Protocol::Udp => self.handle_request(segment, out),
            Protocol::Tcp => self.handle_tcp(segment, out),
        }
        self.start_queued(now);
    }

    fn handle_tcp(&mut self, segment: Segment, out: &mut Vec<Segment>) {
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
            self.handle_request(segment, out);
        }
    }

    fn open_connection(&mut self, segment: &Segment, out: &mut Vec<Segment>) {
        let key = (segment.source, segment.destination);
        let full = self.connections.len() >= self.max_connections;
        if full && !self.connections.contains_key(&key) {
            return out.push(reset(segment));
        }
        self.connections.entry(key).or_insert(Connection {
            sequence: segment.sequence.wrapping_add(1 << 20),
        });
        // The SYN flag occupies one sequence number.
        let mut answer = segment.answer(segment.sequence.wrapping_add((1 << 20) - 1));
        answer.flags.syn = true;
        out.push(answer);
    }

    /// Returns the identities of all received requests.
    pub fn requests(&self) -> impl Iterator<Item = u64> {
        self.requests.keys().copied()
    }

    /// Queues a new request. A retransmitted request is not run again; if it
    /// is completed, its answer is sent again.
    fn handle_request(&mut self, segment: Segment, out: &mut Vec<Segment>) {
        let Some(request) = parse(segment).filter(|_| !self.ignores_requests) else {
            return;
        };
        match self.requests.get(&request.identity) {
            Some(&completed) => {
                self.retransmissions += 1;
                if completed {
                    self.answer(&request, out);
                }
            }
            None => {
                self.requests.insert(request.identity, false);
                self.queued.push_back(request);
            }
        }
    }

    fn start_queued(&mut self, now: Instant) {
        while self.in_progress.len() < self.slots {
            let Some(request) = self.queued.pop_front() else {
                return;
            };
            self.started += 1;
            let key = (now + request.work, request.identity);
            self.in_progress.insert(key, request);
        }
    }

    /// Completes the requests that are due and appends their answers to `out`.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Segment>) {
        while let Some(entry) = self.in_progress.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let request = entry.remove();
            self.completed += 1;
            self.requests.insert(request.identity, true);
            self.answer(&request, out);
            self.start_queued(now);
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
