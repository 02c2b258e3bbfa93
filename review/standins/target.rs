//! Targets: the far ends of flows, which run requests in a few slots.

use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    site::Site,
};

/// The first interval of retransmission; it doubles up to [`MAX_INTERVAL`].
const INTERVAL: Duration = Duration::from_millis(200);
const MAX_INTERVAL: Duration = Duration::from_millis(1_600);
const MAX_TRIES: u32 = 8;

/// How long a flow may be idle before it is discarded (`idleTimeoutMs`).
const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);

/// Requests that wait for a slot at most.
const MAX_QUEUE: usize = 8;

/// The caller's and the route's address and port.
type Key = (u32, u16, u32, u16);

struct Flow {
    is_open: bool,
    has_ended: bool,
    /// The target's next sequence number.
    sequence: u32,
    /// The next sequence number that is expected of the caller.
    expected: u32,
    echo: u32,
    received: Vec<u8>,
    /// Packets that the caller has not acknowledged, with the time and the number of
    /// sendings.
    sent: Vec<(Packet, Instant, u32)>,
    last_packet: Instant,
}

#[derive(Default)]
struct State {
    flows: HashMap<Key, Flow>,
    queue: VecDeque<(Key, http::Request)>,
    /// The identities of the requests that have run.
    ran: Vec<String>,
}

/// A target with its entry in the store.
pub struct Target {
    pub id: u64,
    pub service: String,
    pub zone: String,
    ip: Ipv4Addr,
    site: Arc<Site>,
    socket: UdpSocket,
    record: Record,
    work: Duration,
    pub is_draining: AtomicBool,
    pub drain_acked: Mutex<Option<Instant>>,
    /// Takes the openings that reach it, with the daemon that sent them on.
    pub on_opening: Box<dyn Fn(&Target, Key, Ipv4Addr) + Send + Sync>,
    born: u128,
    state: Mutex<State>,
    changed: Condvar,
}

impl Target {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        site: &Arc<Site>,
        record: &Record,
        number: u64,
        ip: Ipv4Addr,
        zone: &str,
        service: &str,
        work: Duration,
        on_opening: impl Fn(&Target, Key, Ipv4Addr) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let address = SocketAddr::from((ip, site.target_port));
        let socket = UdpSocket::bind(address)
            .unwrap_or_else(|err| crate::cannot_run(&format!("target at {address}: {err}")));
        let target = Arc::new(Self {
            id: 0x7f00_0000 + number,
            service: service.to_owned(),
            zone: zone.to_owned(),
            ip,
            site: Arc::clone(site),
            socket,
            record: record.clone(),
            work,
            is_draining: AtomicBool::new(false),
            drain_acked: Mutex::new(None),
            on_opening: Box::new(on_opening),
            born: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |since| since.as_millis()),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&target);
        thread::spawn(move || shared.receive());
        let shared = Arc::clone(&target);
        thread::spawn(move || shared.retransmit());
        for _ in 0..2 {
            let shared = Arc::clone(&target);
            thread::spawn(move || shared.work());
        }
        target.register();
        target
    }

    pub fn name(&self) -> String {
        format!("i-{:010x}", self.id)
    }

    /// Writes the target's entry.
    fn register(&self) {
        let state = if self.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"warmupLeftMs\":0,\"seq\":1,\"born\":{}}}",
            self.service, self.ip, self.site.target_port, self.zone, self.born
        );
        self.site
            .store
            .put(&format!("servers/{}", self.name()), &entry);
        self.record
            .line(&format!("store: {} is {state}", self.name()));
    }

    /// Reports the target as draining; it serves on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.register();
        *self.drain_acked.lock().unwrap() = Some(Instant::now());
    }

    /// Returns the requests that ran here.
    pub fn ran(&self) -> Vec<String> {
        self.state.lock().unwrap().ran.clone()
    }

    fn receive(&self) {
        let mut buf = [0; 2_048];
        loop {
            let Ok((len, SocketAddr::V4(from))) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            if len < 8 {
                continue;
            }
            let id = u64::from_be_bytes(buf[..8].try_into().unwrap());
            let Some(packet) = Packet::decode(&buf[8..len]) else {
                continue;
            };
            if id != 0 && id != self.id {
                continue;
            }
            if !packet.is_genuine() || packet.flags & (SYN | ACK) == SYN | ACK {
                self.record
                    .broken(&format!("UNASKED: {} got a forged packet", self.name()));
                continue;
            }
            self.handle(packet, *from.ip());
        }
    }

    fn handle(&self, packet: Packet, from: Ipv4Addr) {
        let key = (packet.src, packet.sport, packet.dst, packet.dport);
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        let now = Instant::now();
        if packet.flags & SYN != 0 {
            let is_known = state
                .flows
                .get(&key)
                .is_some_and(|flow| flow.expected == packet.seq.wrapping_add(1));
            if !is_known {
                (self.on_opening)(self, key, from);
                let sequence = random(packet.seq ^ self.id as u32);
                state.flows.insert(
                    key,
                    Flow {
                        is_open: false,
                        has_ended: false,
                        sequence,
                        expected: packet.seq.wrapping_add(1),
                        echo: packet.echo,
                        received: Vec::new(),
                        sent: Vec::new(),
                        last_packet: now,
                    },
                );
            }
            let flow = &state.flows[&key];
            if !flow.is_open {
                self.send(
                    key,
                    flow.echo,
                    SYN | ACK,
                    flow.sequence,
                    flow.expected,
                    Vec::new(),
                );
            }
            return;
        }
        let Some(flow) = state
            .flows
            .get_mut(&key)
            .filter(|flow| flow.is_open || packet.ack == flow.sequence.wrapping_add(1))
        else {
            if packet.flags & RST == 0 {
                self.send(key, packet.echo, RST, packet.ack, 0, Vec::new());
            }
            return;
        };
        flow.last_packet = now;
        flow.echo = packet.echo;
        if packet.flags & RST != 0 {
            state.flows.remove(&key);
            return;
        }
        if !flow.is_open {
            flow.is_open = true;
            flow.sequence = flow.sequence.wrapping_add(1);
        }
        let ack = packet.ack;
        flow.sent.retain(|(sent, ..)| {
            let end = sent
                .seq
                .wrapping_add(sent.data.len() as u32 + u32::from(sent.flags & FIN != 0));
            (ack.wrapping_sub(end) as i32) < 0
        });
        if flow.has_ended && !packet.data.is_empty() {
            self.send(key, packet.echo, RST, packet.ack, 0, Vec::new());
            return;
        }
        let mut has_news = false;
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                flow.received.extend_from_slice(&packet.data);
            }
            has_news = true;
        }
        if packet.flags & FIN != 0 {
            let end = packet.seq.wrapping_add(packet.data.len() as u32);
            if end == flow.expected {
                flow.expected = flow.expected.wrapping_add(1);
            }
            if !flow.has_ended {
                self.answer(flow, key, Vec::new(), true);
            }
            has_news = true;
        }
        if has_news {
            self.send(
                key,
                flow.echo,
                ACK,
                flow.sequence,
                flow.expected,
                Vec::new(),
            );
        }
        while let Some(req) = http::take_request(&mut flow.received) {
            if state.queue.len() >= MAX_QUEUE {
                let text = http::response(503, &req.id, true, 0);
                self.answer(flow, key, text.into_bytes(), false);
            } else {
                state.queue.push_back((key, req));
                self.changed.notify_one();
            }
        }
    }

    fn work(&self) {
        loop {
            let mut state = self.state.lock().unwrap();
            let (key, req) = loop {
                match state.queue.pop_front() {
                    Some(next) => break next,
                    None => state = self.changed.wait(state).unwrap(),
                }
            };
            if state.ran.contains(&req.id) {
                self.record
                    .broken(&format!("a request ran twice: {}", req.id));
            }
            state.ran.push(req.id.clone());
            drop(state);
            self.record
                .line(&format!("{} runs {}", self.name(), req.id));
            thread::sleep(self.work);
            let mut state = self.state.lock().unwrap();
            if let Some(flow) = state.flows.get_mut(&key) {
                let closes = self.is_draining.load(Ordering::SeqCst);
                let text = http::response(200, &req.id, false, 600);
                self.answer(flow, key, text.into_bytes(), closes);
            }
        }
    }

    /// Sends an answer on a flow, and closes it if `closes`.
    fn answer(&self, flow: &mut Flow, key: Key, bytes: Vec<u8>, closes: bool) {
        let flags = if closes { ACK | FIN } else { ACK };
        let len = bytes.len() as u32 + u32::from(closes);
        let packet = self.send(key, flow.echo, flags, flow.sequence, flow.expected, bytes);
        flow.sequence = flow.sequence.wrapping_add(len);
        flow.sent.push((packet, Instant::now(), 1));
        flow.has_ended |= closes;
    }

    fn send(&self, key: Key, echo: u32, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        let packet = Packet {
            src: key.2,
            sport: key.3,
            dst: key.0,
            dport: key.1,
            flags,
            seq,
            ack,
            echo,
            data,
            ..Packet::default()
        };
        let to = SocketAddr::from((Ipv4Addr::from(key.0), self.site.packet_port));
        let _ = self.socket.send_to(&packet.encode(), to);
        packet
    }

    fn retransmit(&self) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            state
                .flows
                .retain(|_, flow| now - flow.last_packet < IDLE_TIMEOUT);
            for (key, flow) in &mut state.flows {
                flow.sent.retain(|sent| sent.2 <= MAX_TRIES);
                for (packet, at, tries) in &mut flow.sent {
                    let interval = (INTERVAL * (1 << (*tries - 1).min(3))).min(MAX_INTERVAL);
                    if now - *at >= interval {
                        self.send(
                            *key,
                            flow.echo,
                            packet.flags,
                            packet.seq,
                            flow.expected,
                            packet.data.clone(),
                        );
                        *at = now;
                        *tries += 1;
                    }
                }
            }
        }
    }
}

fn random(seed: u32) -> u32 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(seed);
    hasher.finish() as u32
}
