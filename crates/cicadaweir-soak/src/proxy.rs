//! A TCP proxy on loopback with injectable faults.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

/// The delay of each forwarded piece of data.
const FORWARD_DELAY: Duration = Duration::from_millis(150);

/// The interval at which idle connections check for a changed fault, and the
/// listener for new connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of the connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyFault {
    /// No fault.
    None,
    /// Each piece of data is delayed.
    Delayed,
    /// Connections are closed.
    Reset,
    /// Data from daemons to the store is dropped; data from the store passes.
    OneWay,
    /// All data is dropped, but connections stay open.
    Silent,
}

impl ProxyFault {
    /// All variants; a fault's position is its discriminant.
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::Delayed,
        Self::Reset,
        Self::OneWay,
        Self::Silent,
    ];
}

/// A proxy for one upstream address; clones share the fault.
#[derive(Debug, Clone)]
pub struct Proxy {
    fault: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy that forwards connections from `listen` to `upstream`.
    ///
    /// # Errors
    ///
    /// The I/O error if `listen` cannot be bound.
    pub fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let proxy = Self {
            fault: Arc::new(AtomicU8::new(ProxyFault::None as u8)),
        };
        let fault = Arc::downgrade(&proxy.fault);
        thread::spawn(move || {
            while let Some(fault) = fault.upgrade() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let proxy = Self { fault };
                        thread::spawn(move || proxy.forward_connection(stream, upstream));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the active fault.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }

    fn fault(&self) -> ProxyFault {
        ProxyFault::ALL[usize::from(self.fault.load(Ordering::Relaxed))]
    }

    fn forward_connection(&self, client: TcpStream, upstream: SocketAddr) {
        // On some systems accepted streams inherit the non-blocking mode.
        if client.set_nonblocking(false).is_err() || self.fault() == ProxyFault::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(upstream) else {
            return;
        };
        let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        thread::spawn(move || proxy.forward(from, to, true));
        self.forward(server, client, false);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, to_upstream: bool) {
        let mut buf = [0; 16_384];
        // Without a read timeout an idle connection would not notice a changed fault.
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        loop {
            let count = match from.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => count,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => 0,
                Err(_) => break,
            };
            match self.fault() {
                ProxyFault::None => {}
                ProxyFault::Delayed => thread::sleep(FORWARD_DELAY),
                ProxyFault::Reset => break,
                ProxyFault::OneWay if to_upstream => continue,
                ProxyFault::OneWay => {}
                ProxyFault::Silent => continue,
            }
            if to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        // The streams may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
