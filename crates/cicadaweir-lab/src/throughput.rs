//! Packets per second through the daemon, compared with a bare UDP relay that
//! has the same event loop and batch sizes. Both are measured alternately in
//! one run.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::channel,
    },
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::flow::Protocol;
use cicadaweir_proto::{note, store};
use cicadaweir_standins::{
    platform::PlatformServer,
    segment::{Flags, Segment},
    site::Site,
};
use cicadaweird::{
    daemon,
    platform::{HttpPlatform, Platform},
    socket::{Batch, BatchSocket},
    tunnel,
};
use stakker::{CX, Stakker, actor, fwd_to, ret_shutdown};
use stakker_mio::{
    MioPoll, Ready,
    mio::{Events, Poll},
};

/// The addresses of the benchmark's processes.
const SITE: Site = Site {
    number: 91,
    entry_vms: 1,
    zones: 1,
};

/// The duration of each round.
const ROUND_DURATION: Duration = Duration::from_millis(1_500);

/// The number of flows whose packets are sent.
const FLOW_COUNT: u16 = 512;

/// The number of sending threads.
const SENDER_THREADS: usize = 2;

/// Packets per second in each round.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The rounds of the bare relay.
    pub bare: Vec<f64>,
    /// The rounds of the daemon.
    pub daemon: Vec<f64>,
}

impl Outcome {
    /// Returns the ratio of the daemon's median to the relay's.
    ///
    /// # Panics
    ///
    /// Panics if no rounds were measured.
    pub fn ratio(&self) -> f64 {
        let median = |values: &[f64]| {
            let mut values = values.to_vec();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        median(&self.daemon) / median(&self.bare)
    }
}

/// An actor that forwards every datagram to one address.
struct BareRelay {
    socket: BatchSocket,
    batch: Batch,
    to: SocketAddr,
}

impl BareRelay {
    fn init(cx: CX![], addr: SocketAddr, to: SocketAddr) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], read() as (Ready));
        let socket = BatchSocket::bind(addr, &poll, ready).ok()?;
        let batch = Batch::new(&socket);
        Some(Self { socket, batch, to })
    }

    fn read(&mut self, cx: CX![], ready: Ready) {
        let (socket, to) = (&self.socket, self.to);
        let more = socket.read(&mut self.batch, |_, bytes| {
            socket.send(to, bytes);
        });
        if matches!(more, Ok(true)) {
            stakker::call!([cx], read(ready));
        }
    }
}

fn run_bare_relay(addr: SocketAddr, to: SocketAddr, stop: &AtomicBool) -> io::Result<()> {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let poll = MioPoll::new(s, Poll::new()?, Events::with_capacity(256), 5)?;
    let _relay = actor!(s, BareRelay::init(addr, to), ret_shutdown!(s));
    let mut idle_pending = s.run(Instant::now(), false);
    let mut io_pending = false;
    while s.not_shutdown() && !stop.load(Ordering::Relaxed) {
        let limit = Duration::from_millis(20);
        let wait = s.next_wait_max(Instant::now(), limit, idle_pending || io_pending);
        let (activity, pending) = poll.poll(wait)?;
        io_pending = pending;
        idle_pending = s.run(Instant::now(), !activity);
    }
    Ok(())
}

/// Sends packets to an address for one round and returns the packets per second
/// that reached the sink.
fn measure_round(to: SocketAddr, received: &AtomicU64) -> f64 {
    let before = received.load(Ordering::Relaxed);
    let started = Instant::now();
    thread::scope(|scope| {
        for sender in 0..SENDER_THREADS {
            scope.spawn(move || send(sender, to, started + ROUND_DURATION));
        }
    });
    let count = received.load(Ordering::Relaxed) - before;
    count as f64 / started.elapsed().as_secs_f64()
}

fn send(sender: usize, to: SocketAddr, until: Instant) {
    // The daemon accepts callers' packets only from the fabric's address.
    let from = (SITE.fabric().ip(), 20_000 + sender as u16);
    let Ok(socket) = UdpSocket::bind(from) else {
        return;
    };
    let packets: Vec<Vec<u8>> = (0..FLOW_COUNT).map(packet).collect();
    while Instant::now() < until {
        for bytes in &packets {
            let _ = socket.send_to(bytes, to);
        }
    }
}

fn packet(number: u16) -> Vec<u8> {
    let caller = SocketAddr::from(([100, 0, 0, 1], 1_000 + number));
    let address = SocketAddr::from(([203, 0, 113, 1], 443));
    let segment = Segment {
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        sequence: 1,
        payload: vec![0; 64],
        ..Segment::new(Protocol::Tcp, caller, address)
    };
    let (mut inner, mut datagram) = (Vec::new(), Vec::new());
    segment.write(&mut inner);
    tunnel::encapsulate(&inner, &mut datagram);
    datagram
}

/// Measures the relay and the daemon alternately, after one unrecorded round of
/// the daemon.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound, or if the daemon or the
/// platform cannot be started.
pub fn run(rounds: usize) -> io::Result<Outcome> {
    let received = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let sink = SITE.target(1);
    start_sink(sink, &received, &stop)?;
    let platform = PlatformServer::start(SITE.platform())?;
    platform.set_members(SITE.list());
    publish(sink)?;
    let daemon = daemon::spawn(SITE.settings(1))?;
    let bare: SocketAddr = (SITE.tunnel(1).ip(), 6_100).into();
    let relay_stop = Arc::clone(&stop);
    let (tx, relay_result) = channel();
    thread::spawn(move || {
        let _ = tx.send(run_bare_relay(bare, sink, &relay_stop));
    });
    thread::sleep(Duration::from_secs(4));
    if let Ok(Err(err)) = relay_result.try_recv() {
        return Err(err);
    }
    let mut outcome = Outcome {
        bare: Vec::new(),
        daemon: Vec::new(),
    };
    measure_round(SITE.tunnel(1), &received);
    for _ in 0..rounds {
        outcome.bare.push(measure_round(bare, &received));
        outcome
            .daemon
            .push(measure_round(SITE.tunnel(1), &received));
    }
    stop.store(true, Ordering::Relaxed);
    drop(daemon);
    Ok(outcome)
}

/// Starts a thread that counts the datagrams received at an address.
fn start_sink(
    addr: SocketAddr,
    received: &Arc<AtomicU64>,
    stop: &Arc<AtomicBool>,
) -> io::Result<()> {
    let socket = UdpSocket::bind(addr)?;
    socket.set_read_timeout(Some(Duration::from_millis(50)))?;
    let (received, stop) = (Arc::clone(received), Arc::clone(stop));
    thread::spawn(move || {
        let mut buf = [0u8; 2_048];
        while !stop.load(Ordering::Relaxed) {
            if socket.recv_from(&mut buf).is_ok() {
                received.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    Ok(())
}

/// Publishes a release note with one service, whose only target is the sink.
fn publish(sink: SocketAddr) -> io::Result<()> {
    let text = format!(
        "[[add.service]]\nname = \"board\"\naddresses = [\"tcp://203.0.113.1:443\"]\n\
         [[add.service.target]]\nname = \"t1\"\nendpoint = \"{sink}\"\nzone = 0\n"
    );
    let to_io_error = |err: &dyn std::fmt::Display| io::Error::other(err.to_string());
    let file = note::parse(&text).map_err(|err| to_io_error(&err))?;
    let release = cicadaweir_core::catalog::ReleaseNote {
        revision: cicadaweir_core::catalog::Revision(1),
        id: cicadaweir_core::catalog::NoteId(1),
        published_ms: 0,
        changes: file.changes().map_err(|err| to_io_error(&err))?,
    };
    let client = HttpPlatform::new(SITE.platform(), SITE.platform());
    let head = store::Head::default().with(release.id);
    let key = store::note_key(&release.id.to_string());
    client
        .swap(&key, 0, &note::to_json(&release))
        .map_err(|err| to_io_error(&err))?;
    let value = serde_json::to_vec(&head)?;
    client
        .swap(store::HEAD_KEY, 0, &value)
        .map_err(|err| to_io_error(&err))?;
    Ok(())
}
