//! Batched UDP sockets through `quinn-udp`.

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

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 9_216;

/// The size in bytes of the kernel's send buffer and of its receive buffer.
const KERNEL_BUFFER_BYTES: usize = 4 << 20;

/// The most batches read for one readiness event, so that the other work of the
/// event loop is not starved.
const MAX_BATCHES_PER_EVENT: usize = 8;

/// A UDP socket that receives many datagrams per system call.
pub struct BatchSocket {
    socket: MioSource<UdpSocket>,
    state: UdpSocketState,
}

/// Reusable receive buffers for one batch.
#[derive(Debug)]
pub struct Batch {
    bytes: Vec<u8>,
    metas: [RecvMeta; BATCH_SIZE],
    /// The size in bytes of one receive buffer, into which the kernel may put
    /// several datagrams (GRO).
    stride: usize,
}

impl Batch {
    /// Creates the buffers for a socket, for datagrams of at most
    /// [`MAX_DATAGRAM_BYTES`].
    pub fn new(socket: &BatchSocket) -> Self {
        Self::for_datagrams(socket, MAX_DATAGRAM_BYTES)
    }

    /// Creates the buffers for a socket, for datagrams of at most `bytes` each.
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
    /// Binds a socket and registers it with the event loop; `ready` is called
    /// when it is readable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; a failed bind names the address.
    pub fn bind(addr: SocketAddr, poll: &MioPoll, ready: Fwd<Ready>) -> io::Result<Self> {
        let with_address = |err: io::Error| io::Error::new(err.kind(), format!("{addr}: {err}"));
        let socket = UdpSocket::bind(addr).map_err(with_address)?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        let _ = state.set_recv_buffer_size(UdpSockRef::from(&socket), KERNEL_BUFFER_BYTES);
        let _ = state.set_send_buffer_size(UdpSockRef::from(&socket), KERNEL_BUFFER_BYTES);
        let socket = poll.add(socket, Interest::READABLE, 10, ready)?;
        Ok(Self { socket, state })
    }

    /// Reads datagrams until none is left or the bound on batches per event is
    /// reached, and passes the source address and the bytes of each to
    /// `on_datagram`. Returns whether more may be left.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if receiving fails.
    pub fn read(
        &self,
        batch: &mut Batch,
        mut on_datagram: impl FnMut(SocketAddr, &[u8]),
    ) -> io::Result<bool> {
        for _ in 0..MAX_BATCHES_PER_EVENT {
            let count = match self.receive(batch) {
                Ok(count) => count,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(err) => return Err(err),
            };
            for at in 0..count {
                let meta = &batch.metas[at];
                let start = at * batch.stride;
                let bytes = &batch.bytes[start..start + meta.len];
                for datagram in bytes.chunks(meta.stride.max(1)) {
                    on_datagram(meta.addr, datagram);
                }
            }
        }
        Ok(true)
    }

    fn receive(&self, batch: &mut Batch) -> io::Result<usize> {
        let mut chunks = batch.bytes.chunks_mut(batch.stride);
        let mut slices: [IoSliceMut<'_>; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().expect("one chunk per slot")));
        self.state.recv(
            UdpSockRef::from(&*self.socket),
            &mut slices,
            &mut batch.metas,
        )
    }

    /// Sends one datagram; returns whether the kernel accepted it. A datagram is
    /// dropped when the send buffer is full, as if it were lost in the network.
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
