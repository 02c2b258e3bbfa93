//! A TCP link on loopback that can be cut and healed, and whose open connections can go
//! silent for good.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// The bytes that a connection carries at once.
const WINDOW_BYTES: usize = 16 << 10;

/// The time between two full windows, so that a large body takes a while.
const WINDOW_INTERVAL: Duration = Duration::from_millis(2);

/// The interval at which idle connections look for faults, and the listener for new
/// connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A link to one upstream address. It ends when it is dropped.
#[derive(Debug, Default)]
pub struct Link {
    is_cut: AtomicBool,
    /// How often the open connections have gone silent.
    silences: AtomicU64,
}

impl Link {
    /// Starts a link that forwards connections from `listen` to `upstream`.
    ///
    /// # Errors
    ///
    /// The I/O error if `listen` cannot be bound.
    pub fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let link = Arc::new(Self::default());
        let weak = Arc::downgrade(&link);
        thread::spawn(move || {
            while let Some(link) = weak.upgrade() {
                match listener.accept() {
                    Ok((caller, _)) => {
                        let silences = link.silences.load(Ordering::SeqCst);
                        let link = Arc::downgrade(&link);
                        thread::spawn(move || carry(&link, silences, caller, upstream));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(link)
    }

    /// Cuts the link or heals it. What is sent meanwhile arrives when it heals.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Makes the open connections silent for good, without closing them.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Waits until the link isn't cut; returns whether the connection is still carried.
fn wait_healed(link: &Weak<Link>, silences: u64) -> bool {
    loop {
        let Some(link) = link.upgrade() else {
            return false;
        };
        let is_silent = link.silences.load(Ordering::SeqCst) != silences;
        if !is_silent && !link.is_cut.load(Ordering::SeqCst) {
            return true;
        }
        drop(link);
        thread::sleep(POLL_INTERVAL);
    }
}

fn carry(link: &Weak<Link>, silences: u64, caller: TcpStream, upstream: SocketAddr) {
    // On some systems accepted streams inherit the non-blocking mode.
    if caller.set_nonblocking(false).is_err() || !wait_healed(link, silences) {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream) else {
        return;
    };
    let (Ok(from), Ok(to)) = (caller.try_clone(), server.try_clone()) else {
        return;
    };
    let shared = link.clone();
    thread::spawn(move || copy(&shared, silences, from, to));
    copy(link, silences, server, caller);
}

fn copy(link: &Weak<Link>, silences: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; WINDOW_BYTES];
    // Without a read timeout the thread of an idle connection would not end.
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    loop {
        let count = match from.read(&mut buf) {
            Ok(count) => count,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                if link.strong_count() == 0 {
                    break;
                }
                continue;
            }
            Err(_) => 0,
        };
        if !wait_healed(link, silences) || count == 0 || to.write_all(&buf[..count]).is_err() {
            break;
        }
        if count == WINDOW_BYTES {
            thread::sleep(WINDOW_INTERVAL);
        }
    }
    // The streams may be closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
