//! A TCP proxy on loopback with faults of its own.

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

/// How long delayed bytes wait.
const DELAY: Duration = Duration::from_millis(150);

/// How often a held connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// What is wrong on the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Every piece of data comes late.
    Delayed,
    /// Connections are closed.
    Reset,
    /// What the daemons send is lost, what the store sends isn't.
    OneWay,
    /// Nothing passes, and no connection is closed.
    Silent,
}

impl Trouble {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::Delayed,
        Self::Reset,
        Self::OneWay,
        Self::Silent,
    ];
}

/// The proxy before one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    trouble: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy on `listen` before `behind`.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address is taken.
    pub fn start(listen: SocketAddr, behind: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let proxy = Self {
            trouble: Arc::new(AtomicU8::new(Trouble::None as u8)),
        };
        let trouble = Arc::downgrade(&proxy.trouble);
        thread::spawn(move || {
            while let Some(trouble) = trouble.upgrade() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let proxy = Self { trouble };
                        thread::spawn(move || proxy.carry(stream, behind));
                    }
                    Err(_) => thread::sleep(LOOK),
                }
            }
        });
        Ok(proxy)
    }

    /// Sets what is wrong from now on.
    pub fn set(&self, trouble: Trouble) {
        self.trouble.store(trouble as u8, Ordering::Relaxed);
    }

    fn trouble(&self) -> Trouble {
        Trouble::ALL[usize::from(self.trouble.load(Ordering::Relaxed))]
    }

    fn carry(&self, front: TcpStream, behind: SocketAddr) {
        // The stream takes the listener's mode on some systems.
        if front.set_nonblocking(false).is_err() || self.trouble() == Trouble::Reset {
            return;
        }
        let Ok(back) = TcpStream::connect(behind) else {
            return;
        };
        let (Ok(from), Ok(to)) = (front.try_clone(), back.try_clone()) else {
            return;
        };
        let forth = self.clone();
        thread::spawn(move || forth.copy(from, to, true));
        self.copy(back, front, false);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, forth: bool) {
        let mut buf = [0; 16_384];
        // A stream without a time-out would only notice faults late.
        let _ = from.set_read_timeout(Some(LOOK));
        loop {
            let count = match from.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => count,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => 0,
                Err(_) => break,
            };
            match self.trouble() {
                Trouble::None => {}
                Trouble::Delayed => thread::sleep(DELAY),
                Trouble::Reset => break,
                Trouble::OneWay if forth => continue,
                Trouble::OneWay => {}
                Trouble::Silent => continue,
            }
            if to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        // The other end may be gone already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
