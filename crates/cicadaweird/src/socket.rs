//! Batched UDP through `quinn-udp`.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
};

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use stakker::Fwd;
use stakker_mio::{
    MioPoll, MioSource, Ready,
    mio::{Interest, net::UdpSocket},
};

/// The most bytes of one datagram.
pub const DATAGRAM_BYTES: usize = 9_216;

/// The bytes of the kernel's buffer in each direction.
const KERNEL_BUFFER_BYTES: usize = 4 << 20;

/// The most batches that one readiness event reads, so that the loop's other
/// work is not starved.
const MOST_BATCHES: usize = 8;

/// A UDP socket that reads many datagrams a call.
pub struct BatchSocket {
    socket: MioSource<UdpSocket>,
    state: UdpSocketState,
}

/// Buffers for one batch, reused.
#[derive(Debug)]
pub struct Batch {
    bytes: Vec<u8>,
    metas: [RecvMeta; BATCH_SIZE],
    stride: usize,
}

impl Batch {
    /// Makes the buffers for a socket.
    pub fn new(socket: &BatchSocket) -> Self {
        Self::for_datagrams(socket, DATAGRAM_BYTES)
    }

    /// Makes the buffers for datagrams of at most `bytes` each.
    pub fn for_datagrams(socket: &BatchSocket, bytes: usize) -> Self {
        let stride = bytes * socket.state.gro_segments().clamp(1, 7);
        Self {
            bytes: vec![0; stride * BATCH_SIZE],
            metas: [RecvMeta::default(); BATCH_SIZE],
            stride,
        }
    }
}

impl BatchSocket {
    /// Binds a socket and adds it to the loop.
    ///
    /// # Errors
    ///
    /// The operating system's error, with the address in it.
    pub fn bind(addr: SocketAddr, poll: &MioPoll, ready: Fwd<Ready>) -> io::Result<Self> {
        let named = |err: io::Error| io::Error::new(err.kind(), format!("{addr}: {err}"));
        let socket = UdpSocket::bind(addr).map_err(named)?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        let _ = state.set_recv_buffer_size(UdpSockRef::from(&socket), KERNEL_BUFFER_BYTES);
        let _ = state.set_send_buffer_size(UdpSockRef::from(&socket), KERNEL_BUFFER_BYTES);
        let socket = poll.add(socket, Interest::READABLE, 10, ready)?;
        Ok(Self { socket, state })
    }

    /// Reads datagrams until none is left or enough were read; `each` gets
    /// the sender and the bytes. Returns whether more may be left.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn read(
        &self,
        batch: &mut Batch,
        mut each: impl FnMut(SocketAddr, &[u8]),
    ) -> io::Result<bool> {
        for _ in 0..MOST_BATCHES {
            let count = match self.fill(batch) {
                Ok(count) => count,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(err) => return Err(err),
            };
            for at in 0..count {
                let meta = &batch.metas[at];
                let start = at * batch.stride;
                let bytes = &batch.bytes[start..start + meta.len];
                for datagram in bytes.chunks(meta.stride.max(1)) {
                    each(meta.addr, datagram);
                }
            }
        }
        Ok(true)
    }

    fn fill(&self, batch: &mut Batch) -> io::Result<usize> {
        let mut chunks = batch.bytes.chunks_mut(batch.stride);
        let mut slices: [IoSliceMut<'_>; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().expect("one chunk a slot")));
        self.state.recv(
            UdpSockRef::from(&*self.socket),
            &mut slices,
            &mut batch.metas,
        )
    }

    /// Sends one datagram; a full kernel buffer loses it, as a network does.
    pub fn send(&self, to: SocketAddr, contents: &[u8]) -> bool {
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents,
            segment_size: None,
            src_ip: None,
        };
        self.state
            .try_send(UdpSockRef::from(&*self.socket), &transmit)
            .is_ok()
    }
}
