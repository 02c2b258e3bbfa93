//! A target's sockets.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cicadaweird::{probe::LoadBody, tunnel};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tiny_http::{Response, Server};

use crate::segment::Segment;

use super::{App, TargetOptions};

/// How long a read waits, and so how late work may complete.
const PATIENCE: Duration = Duration::from_millis(1);

/// The largest datagram, in bytes.
const MOST_BYTES: usize = 9_216;

/// A target that runs on threads of its own.
#[derive(Debug)]
pub struct TargetServer {
    options: TargetOptions,
    app: Arc<Mutex<App>>,
    entry_vms: Arc<Mutex<Vec<SocketAddr>>>,
    ended: Arc<AtomicBool>,
}

impl TargetServer {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn start(options: TargetOptions) -> io::Result<Self> {
        let app = App::new(
            options.service.clone(),
            options.name.clone(),
            options.connections,
            options.slots,
        );
        let this = Self {
            app: Arc::new(Mutex::new(app)),
            entry_vms: Arc::new(Mutex::new(options.entry_vms.clone())),
            ended: Arc::new(AtomicBool::new(false)),
            options,
        };
        this.start_packets()?;
        this.start_load()?;
        Ok(this)
    }

    /// Returns the state.
    pub fn app(&self) -> MutexGuard<'_, App> {
        lock(&self.app)
    }

    /// Sets the entry VMs that answers are sent through.
    pub fn set_entry_vms(&self, entry_vms: Vec<SocketAddr>) {
        *lock(&self.entry_vms) = entry_vms;
    }

    /// Returns the options.
    pub const fn options(&self) -> &TargetOptions {
        &self.options
    }

    fn start_packets(&self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.options.endpoint)?;
        socket.set_read_timeout(Some(PATIENCE))?;
        let mut turn = Turn {
            socket,
            app: Arc::clone(&self.app),
            random: Pcg64Mcg::seed_from_u64(u64::from(self.options.endpoint.port())),
            entry_vms: Arc::clone(&self.entry_vms),
            answers: Vec::new(),
            packet: Vec::new(),
            datagram: Vec::new(),
        };
        let ended = Arc::clone(&self.ended);
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                turn.once();
            }
        });
        Ok(())
    }

    fn start_load(&self) -> io::Result<()> {
        let addr = self.options.probe;
        let server = Server::http(addr).map_err(|e| io::Error::other(format!("{addr}: {e}")))?;
        let (app, ended) = (Arc::clone(&self.app), Arc::clone(&self.ended));
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let Ok(Some(req)) = server.recv_timeout(PATIENCE * 50) else {
                    continue;
                };
                let body = serde_json::to_string(&load(&lock(&app))).unwrap_or_default();
                let _ = req.respond(Response::from_string(body));
            }
        });
        Ok(())
    }
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn load(app: &App) -> LoadBody {
    LoadBody {
        open: app.open() as u32,
        pending: app.pending() as u32,
        completed: app.completed,
        draining: app.draining,
    }
}

/// The packet thread's own state.
struct Turn {
    socket: UdpSocket,
    app: Arc<Mutex<App>>,
    random: Pcg64Mcg,
    entry_vms: Arc<Mutex<Vec<SocketAddr>>>,
    answers: Vec<Segment>,
    packet: Vec<u8>,
    datagram: Vec<u8>,
}

impl Turn {
    fn once(&mut self) {
        let mut buf = [0u8; MOST_BYTES];
        let received = self.socket.recv_from(&mut buf).ok();
        let segment = received
            .and_then(|(len, _)| tunnel::decapsulate(&buf[..len]).ok())
            .and_then(Segment::read);
        let now = Instant::now();
        {
            let mut app = lock(&self.app);
            if let Some(segment) = segment {
                app.packet(now, segment, &mut self.answers);
            }
            app.tick(now, &mut self.answers);
        }
        let mut answers = std::mem::take(&mut self.answers);
        for answer in answers.drain(..) {
            self.send(&answer);
        }
        self.answers = answers;
    }

    /// Sends an answer back through any entry VM.
    fn send(&mut self, answer: &Segment) {
        let vms = lock(&self.entry_vms);
        if vms.is_empty() {
            return;
        }
        let at = self.random.next_u64() as usize % vms.len();
        let to = vms[at];
        drop(vms);
        answer.write(&mut self.packet);
        tunnel::encapsulate(&self.packet, &mut self.datagram);
        let _ = self.socket.send_to(&self.datagram, to);
    }
}
