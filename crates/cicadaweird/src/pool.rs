//! Buffers for pending packets.

use cicadaweir_core::packet::PacketRef;

/// The handle of a packet that the pool has no buffer for: its bytes exist only
/// in the receive buffer while it is being handled.
pub const UNPOOLED: PacketRef = PacketRef(u32::MAX);

/// Copies of pending packets, in reused buffers.
#[derive(Debug)]
pub struct Pool {
    buffers: Vec<Vec<u8>>,
    free: Vec<u32>,
}

impl Pool {
    /// Creates a pool for at most `capacity` packets.
    pub fn new(capacity: u32) -> Self {
        Self {
            buffers: vec![Vec::new(); capacity as usize],
            free: (0..capacity).rev().collect(),
        }
    }

    /// Returns the handle that the next stored packet gets, or [`UNPOOLED`] if
    /// the pool is full. The core receives this handle with the packet, before
    /// it decides whether the packet has to be stored.
    pub fn next_handle(&self) -> PacketRef {
        self.free.last().map_or(UNPOOLED, |&at| PacketRef(at))
    }

    /// Stores a copy of a packet if `packet` is the handle that
    /// [`Pool::next_handle`] returns at present; returns whether it was stored.
    pub fn store(&mut self, packet: PacketRef, bytes: &[u8]) -> bool {
        let is_next = self.free.last() == Some(&packet.0);
        if is_next {
            self.free.pop();
            let buf = &mut self.buffers[packet.0 as usize];
            buf.clear();
            buf.extend_from_slice(bytes);
        }
        is_next
    }

    /// Returns the bytes of a stored packet, or `None` for [`UNPOOLED`].
    pub fn get(&self, packet: PacketRef) -> Option<&[u8]> {
        self.buffers.get(packet.0 as usize).map(Vec::as_slice)
    }

    /// Frees the buffer of a stored packet; does nothing for [`UNPOOLED`].
    pub fn release(&mut self, packet: PacketRef) {
        if (packet.0 as usize) < self.buffers.len() {
            self.free.push(packet.0);
        }
    }
}
