//! The network that sprays packets over the entry VMs.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cicadaweird::tunnel;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::segment::Segment;

/// The largest datagram, in bytes.
const MOST_BYTES: usize = 9_216;

/// The fabric's end of the tunnels to the entry VMs.
#[derive(Debug)]
pub struct Fabric {
    socket: UdpSocket,
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
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        Ok(Self {
            socket,
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

    /// Receives a packet for a caller, if one comes within a millisecond.
    pub fn receive(&mut self) -> Option<Segment> {
        let mut buf = [0u8; MOST_BYTES];
        let (len, _) = self.socket.recv_from(&mut buf).ok()?;
        let inner = tunnel::decapsulate(&buf[..len]).ok()?;
        Segment::read(inner)
    }
}
