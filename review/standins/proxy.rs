//! The link of one machine: a TCP proxy with small windows that can lose power.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// The bytes that a connection carries in one round trip.
const WINDOW_BYTES: usize = 16 << 10;

/// A proxy in front of one address.
pub struct Proxy {
    to: SocketAddr,
    round_trip: Duration,
    is_dark: AtomicBool,
    /// How often the machine has lost power.
    outages: AtomicU64,
    /// The full windows that were sent to callers, each in the midst of a response.
    full_windows: AtomicU64,
}

impl Proxy {
    pub fn start(from: SocketAddr, to: SocketAddr, round_trip: Duration) -> Arc<Self> {
        let listener = TcpListener::bind(from)
            .unwrap_or_else(|err| crate::cannot_run(&format!("proxy at {from}: {err}")));
        let proxy = Arc::new(Self {
            to,
            round_trip,
            is_dark: AtomicBool::new(false),
            outages: AtomicU64::new(0),
            full_windows: AtomicU64::new(0),
        });
        let shared = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = Arc::clone(&shared);
                thread::spawn(move || {
                    let _ = proxy.carry(stream);
                });
            }
        });
        proxy
    }

    pub fn full_windows(&self) -> u64 {
        self.full_windows.load(Ordering::SeqCst)
    }

    /// The machine loses power: connections carry nothing more and are not closed, and
    /// new ones are not answered.
    pub fn lose_power(&self) {
        self.outages.fetch_add(1, Ordering::SeqCst);
        self.is_dark.store(true, Ordering::SeqCst);
    }

    /// The machine is back: new connections work.
    pub fn restore_power(&self) {
        self.is_dark.store(false, Ordering::SeqCst);
    }

    fn carry(self: &Arc<Self>, caller: TcpStream) -> std::io::Result<()> {
        let outages = self.outages.load(Ordering::SeqCst);
        if self.is_dark.load(Ordering::SeqCst) {
            stay_silent();
        }
        let server = TcpStream::connect(self.to)?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (from, to) = (caller.try_clone()?, server.try_clone()?);
        let proxy = Arc::clone(self);
        thread::spawn(move || proxy.copy(from, to, outages, false));
        self.copy(server, caller, outages, true);
        Ok(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, outages: u64, is_response: bool) {
        let mut buf = vec![0; WINDOW_BYTES];
        loop {
            let read = from.read(&mut buf);
            // A machine without power sends no reset.
            if self.outages.load(Ordering::SeqCst) != outages {
                stay_silent();
            }
            let Ok(len @ 1..) = read else {
                let _ = to.shutdown(Shutdown::Both);
                return;
            };
            if to.write_all(&buf[..len]).is_err() {
                return;
            }
            if is_response && len == WINDOW_BYTES {
                self.full_windows.fetch_add(1, Ordering::SeqCst);
                thread::sleep(self.round_trip);
            }
        }
    }
}

/// Keeps a connection open until the program ends.
fn stay_silent() -> ! {
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}
