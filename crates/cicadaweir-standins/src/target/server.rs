//! The sockets and threads of a target.

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

/// The read timeout of the tunnel socket; it bounds how late a request completes.
const READ_TIMEOUT: Duration = Duration::from_millis(1);

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 9_216;

/// A target that runs on its own threads until it is dropped.
#[derive(Debug)]
pub struct TargetServer {
    options: TargetOptions,
    app: Arc<Mutex<App>>,
    entry_vms: Arc<Mutex<Vec<SocketAddr>>>,
    shutdown: Arc<AtomicBool>,
}

impl TargetServer {
    /// Binds the sockets of a target and starts its threads.
    ///
    /// # Errors
    ///
    /// The I/O error if an address cannot be bound.
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
            shutdown: Arc::new(AtomicBool::new(false)),
            options,
        };
        this.start_tunnel()?;
        this.start_load_endpoint()?;
        Ok(this)
    }

    /// Locks and returns the application state.
    pub fn app(&self) -> MutexGuard<'_, App> {
        lock(&self.app)
    }

    /// Sets the tunnel addresses of the entry VMs through which answers are sent.
    pub fn set_entry_vms(&self, entry_vms: Vec<SocketAddr>) {
        *lock(&self.entry_vms) = entry_vms;
    }

    /// Returns the options.
    pub const fn options(&self) -> &TargetOptions {
        &self.options
    }

    fn start_tunnel(&self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.options.endpoint)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut tunnel = TunnelLoop {
            socket,
            app: Arc::clone(&self.app),
            rng: Pcg64Mcg::seed_from_u64(u64::from(self.options.endpoint.port())),
            entry_vms: Arc::clone(&self.entry_vms),
            answers: Vec::new(),
            packet: Vec::new(),
            datagram: Vec::new(),
        };
        let shutdown = Arc::clone(&self.shutdown);
        thread::spawn(move || {
            while !shutdown.load(Ordering::Relaxed) {
                tunnel.run_once();
            }
        });
        Ok(())
    }

    fn start_load_endpoint(&self) -> io::Result<()> {
        let addr = self.options.probe;
        let server = Server::http(addr).map_err(|e| io::Error::other(format!("{addr}: {e}")))?;
        let (app, shutdown) = (Arc::clone(&self.app), Arc::clone(&self.shutdown));
        thread::spawn(move || {
            while !shutdown.load(Ordering::Relaxed) {
                // Checks for shutdown every 50 ms.
                let Ok(Some(req)) = server.recv_timeout(READ_TIMEOUT * 50) else {
                    continue;
                };
                let body = serde_json::to_string(&load_body(&lock(&app))).unwrap_or_default();
                let _ = req.respond(Response::from_string(body));
            }
        });
        Ok(())
    }
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.shutdown.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn load_body(app: &App) -> LoadBody {
    LoadBody {
        open: app.open() as u32,
        pending: app.pending() as u32,
        completed: app.completed,
        draining: app.draining,
    }
}

/// The state of the tunnel thread.
struct TunnelLoop {
    socket: UdpSocket,
    app: Arc<Mutex<App>>,
    rng: Pcg64Mcg,
    entry_vms: Arc<Mutex<Vec<SocketAddr>>>,
    answers: Vec<Segment>,
    packet: Vec<u8>,
    datagram: Vec<u8>,
}

impl TunnelLoop {
    /// Receives at most one packet, completes due requests and sends the answers.
    fn run_once(&mut self) {
        let mut buf = [0u8; MAX_DATAGRAM_BYTES];
        let received = self.socket.recv_from(&mut buf).ok();
        let segment = received
            .and_then(|(len, _)| tunnel::decapsulate(&buf[..len]).ok())
            .and_then(Segment::read);
        let now = Instant::now();
        {
            let mut app = lock(&self.app);
            if let Some(segment) = segment {
                app.handle_segment(now, segment, &mut self.answers);
            }
            app.tick(now, &mut self.answers);
        }
        let mut answers = std::mem::take(&mut self.answers);
        for answer in answers.drain(..) {
            self.send(&answer);
        }
        self.answers = answers;
    }

    /// Sends an answer through a randomly chosen entry VM.
    fn send(&mut self, answer: &Segment) {
        let vms = lock(&self.entry_vms);
        if vms.is_empty() {
            return;
        }
        let index = self.rng.next_u64() as usize % vms.len();
        let to = vms[index];
        drop(vms);
        answer.write(&mut self.packet);
        tunnel::encapsulate(&self.packet, &mut self.datagram);
        let _ = self.socket.send_to(&self.datagram, to);
    }
}
