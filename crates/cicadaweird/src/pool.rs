//! Packets that wait.

use cicadaweir_core::packet::PacketRef;

/// The handle of the packet that is being handled; its bytes lie in the
/// receive buffer.
pub const CURRENT: PacketRef = PacketRef(u32::MAX);

/// Copies of packets that wait, in reused buffers.
#[derive(Debug)]
pub struct Pool {
    buffers: Vec<Vec<u8>>,
    free: Vec<u32>,
}

impl Pool {
    /// Makes a pool of at most `bound` packets.
    pub fn new(bound: u32) -> Self {
        Self {
            buffers: vec![Vec::new(); bound as usize],
            free: (0..bound).rev().collect(),
        }
    }

    /// Returns the handle that the next kept packet will have, if there is
    /// room; the core is told this handle before it decides.
    pub fn offer(&self) -> PacketRef {
        self.free.last().map_or(CURRENT, |&at| PacketRef(at))
    }

    /// Keeps a packet under the offered handle; returns whether it did.
    pub fn keep(&mut self, packet: PacketRef, bytes: &[u8]) -> bool {
        let offered = self.free.last() == Some(&packet.0);
        if offered {
            self.free.pop();
            let buf = &mut self.buffers[packet.0 as usize];
            buf.clear();
            buf.extend_from_slice(bytes);
        }
        offered
    }

    /// Returns the bytes of a kept packet.
    pub fn get(&self, packet: PacketRef) -> Option<&[u8]> {
        self.buffers.get(packet.0 as usize).map(Vec::as_slice)
    }

    /// Forgets a kept packet.
    pub fn release(&mut self, packet: PacketRef) {
        if (packet.0 as usize) < self.buffers.len() {
            self.free.push(packet.0);
        }
    }
}
