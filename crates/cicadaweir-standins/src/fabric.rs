//! The network that sprays packets over the entry VMs.

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
const MOST_BYTES: usize = 9_216;

/// How long a read waits before it looks whether it is to end.
const PATIENCE: Duration = Duration::from_millis(50);

/// The fabric's end of the tunnels to the entry VMs.
#[derive(Debug)]
pub struct Fabric {
    socket: UdpSocket,
    arrivals: Receiver<(Instant, Segment)>,
    ended: Arc<AtomicBool>,
    entry_vms: Vec<SocketAddr>,
    random: Pcg64Mcg,
    packet: Vec<u8>,
    datagram: Vec<u8>,
}

impl Fabric {
    /// Binds the fabric's address.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn bind(addr: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        let reader = socket.try_clone()?;
        reader.set_read_timeout(Some(PATIENCE))?;
        let ended = Arc::new(AtomicBool::new(false));
        let (tx, arrivals) = channel();
        let stop = Arc::clone(&ended);
        thread::spawn(move || read(&reader, &stop, &tx));
        Ok(Self {
            socket,
            arrivals,
            ended,
            entry_vms: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            packet: Vec::new(),
            datagram: Vec::new(),
        })
    }

    /// Sets the entry VMs that packets are sprayed over.
    pub fn set_entry_vms(&mut self, entry_vms: Vec<SocketAddr>) {
        self.entry_vms = entry_vms;
    }

    /// Returns the entry VMs that packets are sprayed over.
    pub fn entry_vms(&self) -> &[SocketAddr] {
        &self.entry_vms
    }

    /// Hands a caller's packet to any entry VM.
    pub fn send(&mut self, segment: &Segment) {
        if self.entry_vms.is_empty() {
            return;
        }
        let at = self.random.next_u64() as usize % self.entry_vms.len();
        segment.write(&mut self.packet);
        tunnel::encapsulate(&self.packet, &mut self.datagram);
        let _ = self.socket.send_to(&self.datagram, self.entry_vms[at]);
    }

    /// Returns the next packet for a caller with the time of its arrival,
    /// waiting for a millisecond at most.
    pub fn receive(&mut self) -> Option<(Instant, Segment)> {
        self.arrivals.recv_timeout(Duration::from_millis(1)).ok()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Reads packets for callers on a thread of its own, so that a burst does not
/// overflow the kernel's buffer while callers are busy.
fn read(socket: &UdpSocket, ended: &AtomicBool, tx: &Sender<(Instant, Segment)>) {
    let mut buf = [0u8; MOST_BYTES];
    while !ended.load(Ordering::Relaxed) {
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
