//! The packet fabric: distributes callers' packets randomly over the entry VMs.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use cicadaweird::tunnel;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::segment::Segment;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 9_216;

/// The read timeout after which the receiving thread checks for shutdown.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// The fabric's side of the tunnels to the entry VMs.
#[derive(Debug)]
pub struct Fabric {
    socket: UdpSocket,
    arrivals: Receiver<(Instant, Segment)>,
    shutdown: Arc<AtomicBool>,
    entry_vms: Vec<SocketAddr>,
    rng: Pcg64Mcg,
    packet: Vec<u8>,
    datagram: Vec<u8>,
}

impl Fabric {
    /// Binds the fabric's address and starts the receiving thread. `seed`
    /// determines which entry VM each packet is sent to.
    ///
    /// # Errors
    ///
    /// The I/O error if the address cannot be bound.
    pub fn bind(addr: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        let reader = socket.try_clone()?;
        reader.set_read_timeout(Some(READ_TIMEOUT))?;
        let shutdown = Arc::new(AtomicBool::new(false));
        let (tx, arrivals) = channel();
        let stop = Arc::clone(&shutdown);
        thread::spawn(move || receive_loop(&reader, &stop, &tx));
        Ok(Self {
            socket,
            arrivals,
            shutdown,
            entry_vms: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            packet: Vec::new(),
            datagram: Vec::new(),
        })
    }

    /// Sets the tunnel addresses of the entry VMs that packets are sent to.
    pub fn set_entry_vms(&mut self, entry_vms: Vec<SocketAddr>) {
        self.entry_vms = entry_vms;
    }

    /// Returns the tunnel addresses of the entry VMs that packets are sent to.
    pub fn entry_vms(&self) -> &[SocketAddr] {
        &self.entry_vms
    }

    /// Sends a caller's packet to a randomly chosen entry VM.
    pub fn send(&mut self, segment: &Segment) {
        if self.entry_vms.is_empty() {
            return;
        }
        let index = self.rng.next_u64() as usize % self.entry_vms.len();
        segment.write(&mut self.packet);
        tunnel::encapsulate(&self.packet, &mut self.datagram);
        let _ = self.socket.send_to(&self.datagram, self.entry_vms[index]);
    }

    /// Returns the next packet for a caller with its arrival time; waits for at
    /// most one millisecond.
    pub fn receive(&mut self) -> Option<(Instant, Segment)> {
        self.arrivals.recv_timeout(Duration::from_millis(1)).ok()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.shutdown.store(true, Ordering::Relaxed);
    }
}

/// Receives packets for callers on a separate thread, so that a burst does not
/// overflow the socket's receive buffer while the callers' thread is busy.
fn receive_loop(socket: &UdpSocket, shutdown: &AtomicBool, tx: &Sender<(Instant, Segment)>) {
    let mut buf = [0u8; MAX_DATAGRAM_BYTES];
    while !shutdown.load(Ordering::Relaxed) {
        let Ok((len, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        let inner = tunnel::decapsulate(&buf[..len]).ok();
        if let Some(segment) = inner.and_then(Segment::read) {
            if tx.send((Instant::now(), segment)).is_err() {
                return;
            }
        }
    }
}
