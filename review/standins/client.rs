//! Callers: one address each, with many flows.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, AtomicU32, Ordering},
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    packet::{ACK, FIN, MAX_DATA_BYTES, Packet, RST, SYN, number},
    site::Site,
};

/// A reset counts on an open flow if its sequence number is at most this far from the
/// caller's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// When copies of an opening are sent.
const OPENINGS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// The first port of a caller.
const FIRST_PORT: u16 = 1_024;

/// When a caller gives up an opening.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// A caller.
pub struct Client {
    pub ip: Ipv4Addr,
    pub zone: usize,
    site: Arc<Site>,
    flows: Arc<Mutex<HashMap<u16, Sender<(Packet, Ipv4Addr)>>>>,
    next_port: AtomicU16,
    next_request: AtomicU32,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A complete response with this status.
    Answered(u16),
    /// The flow never opened: a reset or silence.
    NotOpened,
    /// An open flow was reset by the daemon at this address.
    ResetBySystem(Ipv4Addr),
    /// An open flow was reset by the target at this address.
    ResetByTarget(Ipv4Addr),
    /// No response within the time budget.
    TimedOut,
}

/// An open flow.
pub struct Flow {
    client: Arc<Client>,
    rx: Receiver<(Packet, Ipv4Addr)>,
    pub port: u16,
    to: (u32, u16),
    sequence: u32,
    /// The next sequence number that is expected of the target.
    expected: u32,
    echo: u32,
    pub opened: Instant,
    /// The address of the flow's target.
    pub target: Ipv4Addr,
    received: Vec<u8>,
}

impl Client {
    pub fn start(site: &Arc<Site>, ip: Ipv4Addr, zone: usize) -> Arc<Self> {
        let address = SocketAddr::from((ip, site.packet_port));
        let socket = UdpSocket::bind(address)
            .unwrap_or_else(|err| crate::cannot_run(&format!("caller at {address}: {err}")));
        let client = Arc::new(Self {
            ip,
            zone,
            site: Arc::clone(site),
            flows: Arc::default(),
            next_port: AtomicU16::new(FIRST_PORT),
            next_request: AtomicU32::new(1),
        });
        let flows = Arc::clone(&client.flows);
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            loop {
                let Ok((len, SocketAddr::V4(from))) = socket.recv_from(&mut buf) else {
                    continue;
                };
                let Some(packet) = Packet::decode(&buf[..len]) else {
                    continue;
                };
                if let Some(tx) = flows.lock().unwrap().get(&packet.dport) {
                    let _ = tx.send((packet, *from.ip()));
                }
            }
        });
        client
    }

    /// Begins with the first port again, when all flows of before are closed.
    pub fn reuse_ports(&self) {
        self.next_port.store(FIRST_PORT, Ordering::SeqCst);
    }

    /// Returns the name of a new request.
    pub fn request_id(&self) -> String {
        let n = self.next_request.fetch_add(1, Ordering::SeqCst);
        format!("{}-{n}", self.ip)
    }

    fn send(&self, packet: &Packet) {
        self.site.route(self.zone, packet);
    }

    /// Opens a flow from a new port.
    pub fn open(self: &Arc<Self>, to: (Ipv4Addr, u16)) -> Result<Flow, End> {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let (tx, rx) = channel();
        self.flows.lock().unwrap().insert(port, tx);
        let to = (number(to.0), to.1);
        let first = random(u32::from(port));
        let mut syn = self.packet(port, to, SYN, first, 0, 0);
        let start = Instant::now();
        for (copy, at) in OPENINGS.iter().enumerate() {
            syn.ack = copy as u32;
            self.send(&syn);
            let until = OPENINGS.get(copy + 1).copied().unwrap_or(OPENING_TIMEOUT);
            let _ = at;
            loop {
                let left = (start + until).saturating_duration_since(Instant::now());
                let (packet, from) = match rx.recv_timeout(left) {
                    Ok(received) => received,
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return Err(End::NotOpened),
                };
                if packet.flags & RST != 0 {
                    self.flows.lock().unwrap().remove(&port);
                    return Err(End::NotOpened);
                }
                if packet.flags & (SYN | ACK) == SYN | ACK && packet.ack == first.wrapping_add(1) {
                    let flow = Flow {
                        client: Arc::clone(self),
                        rx,
                        port,
                        to,
                        sequence: packet.ack,
                        expected: packet.seq.wrapping_add(1),
                        echo: packet.echo,
                        opened: Instant::now(),
                        target: from,
                        received: Vec::new(),
                    };
                    flow.acknowledge();
                    return Ok(flow);
                }
            }
        }
        self.flows.lock().unwrap().remove(&port);
        Err(End::NotOpened)
    }

    fn packet(
        &self,
        port: u16,
        to: (u32, u16),
        flags: u8,
        seq: u32,
        ack: u32,
        echo: u32,
    ) -> Packet {
        Packet {
            src: number(self.ip),
            sport: port,
            dst: to.0,
            dport: to.1,
            flags,
            seq,
            ack,
            echo,
            ..Packet::default()
        }
    }
}

impl Flow {
    fn acknowledge(&self) {
        let packet = self.client.packet(
            self.port,
            self.to,
            ACK,
            self.sequence,
            self.expected,
            self.echo,
        );
        self.client.send(&packet);
    }

    /// Sends a request and waits for its response for at most `budget`.
    pub fn request(&mut self, method: &str, id: &str, bytes: usize, budget: Duration) -> End {
        let text = http::request(method, id, bytes).into_bytes();
        let mut unacked: Vec<Packet> = Vec::new();
        for chunk in text.chunks(MAX_DATA_BYTES) {
            let mut packet = self.client.packet(
                self.port,
                self.to,
                ACK,
                self.sequence,
                self.expected,
                self.echo,
            );
            packet.data = chunk.to_vec();
            self.sequence = self.sequence.wrapping_add(chunk.len() as u32);
            self.client.send(&packet);
            unacked.push(packet);
        }
        self.received.clear();
        let end = Instant::now() + budget;
        let mut interval = Duration::from_millis(200);
        let mut resend_at = Instant::now() + interval;
        loop {
            let now = Instant::now();
            if now >= end {
                return End::TimedOut;
            }
            if now >= resend_at {
                for packet in &unacked {
                    let mut packet = packet.clone();
                    (packet.ack, packet.echo) = (self.expected, self.echo);
                    self.client.send(&packet);
                }
                interval = (interval * 2).min(Duration::from_millis(1_600));
                resend_at = now + interval;
            }
            let (packet, from) = match self
                .rx
                .recv_timeout(end.min(resend_at).saturating_duration_since(now))
            {
                Ok(received) => received,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return End::TimedOut,
            };
            if packet.flags & SYN != 0 {
                continue;
            }
            if let Some(reset) = self.reset(&packet, from) {
                return reset;
            }
            if packet.flags & RST != 0 {
                continue;
            }
            unacked.retain(|sent| {
                let last = sent.seq.wrapping_add(sent.data.len() as u32);
                (packet.ack.wrapping_sub(last) as i32) < 0
            });
            self.echo = packet.echo;
            if self.take(&packet) {
                self.acknowledge();
            }
            if let Some((status, of)) = http::whole_response(&self.received) {
                if of != id {
                    crate::cannot_run(&format!("the answer of {of} came for {id}"));
                }
                return End::Answered(status);
            }
        }
    }

    /// Takes the data of a packet; returns whether it had any.
    fn take(&mut self, packet: &Packet) -> bool {
        let len = packet.data.len() as u32 + u32::from(packet.flags & FIN != 0);
        if len > 0 && packet.seq == self.expected {
            self.expected = self.expected.wrapping_add(len);
            self.received.extend_from_slice(&packet.data);
        }
        len > 0
    }

    /// Returns how a reset that counts on an open flow ends it.
    fn reset(&self, packet: &Packet, from: Ipv4Addr) -> Option<End> {
        let distance = packet.seq.wrapping_sub(self.expected);
        let distance = distance.min(distance.wrapping_neg());
        if packet.flags & RST == 0 || distance > RESET_WINDOW {
            return None;
        }
        Some(if packet.is_genuine() {
            End::ResetByTarget(from)
        } else {
            End::ResetBySystem(from)
        })
    }

    /// Keeps the flow open without a request for `span`. Any packet of the flow brings
    /// the `echo` that the caller's next packet carries.
    pub fn pause(&mut self, span: Duration) -> Option<End> {
        let end = Instant::now() + span;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let Ok((packet, from)) = self.rx.recv_timeout(left) else {
                return None;
            };
            if let Some(reset) = self.reset(&packet, from) {
                return Some(reset);
            }
            if packet.flags & RST == 0 {
                self.echo = packet.echo;
            }
            if packet.flags & (SYN | RST) == 0 && self.take(&packet) {
                self.acknowledge();
            }
        }
    }

    /// Returns the cookie that the next packet carries.
    pub fn echo(&self) -> u32 {
        self.echo
    }

    /// Closes the flow; returns whether both ends have closed it.
    pub fn close(mut self) -> bool {
        let mut is_closed = false;
        for _ in 0..4 {
            let packet = self.packet(FIN | ACK);
            self.client.send(&packet);
            let until = Instant::now() + Duration::from_millis(200);
            while let Ok((answer, _)) = self
                .rx
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                if answer.flags & (RST | SYN) != 0 {
                    continue;
                }
                self.take(&answer);
                is_closed |= answer.flags & FIN != 0;
                if is_closed && answer.ack == self.sequence.wrapping_add(1) {
                    break;
                }
            }
            if is_closed {
                self.sequence = self.sequence.wrapping_add(1);
                self.acknowledge();
                break;
            }
        }
        self.client.flows.lock().unwrap().remove(&self.port);
        is_closed
    }

    fn packet(&self, flags: u8) -> Packet {
        self.client.packet(
            self.port,
            self.to,
            flags,
            self.sequence,
            self.expected,
            self.echo,
        )
    }

    /// Forgets the flow without a packet, as a caller that has ended.
    pub fn abandon(self) {
        self.client.flows.lock().unwrap().remove(&self.port);
    }
}

fn random(seed: u32) -> u32 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(seed);
    hasher.finish() as u32
}
