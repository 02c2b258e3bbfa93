//! A site on loopback for daemons in cookie mode, whose packets carry the cookie
//! of their target: a store, daemon processes, targets and one caller.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use cicadaweir_core::steer::{Cookie, Identity};
use cicadaweir_platform::{packet, ready};
use serde_json::json;

use crate::store::StoreServer;

/// The time within which an awaited condition must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The port on which daemons and callers receive packets.
const PACKETS_PORT: u16 = 8_172;

/// The port of a daemon's feed for other daemons.
const PEER_PORT: u16 = 8_166;

/// The number of leading header bytes that identify the flow.
const FLOW_BYTES: usize = 12;

/// The port of the route that every site has.
pub const ROUTE_PORT: u16 = 8_443;

/// The flag of an opening.
pub const SYN: u8 = 2;

/// The flag of an acknowledgement.
pub const ACK: u8 = 64;

/// The flag of a packet that closes a flow.
pub const FIN: u8 = 8;

/// The flag of a reset.
pub const RST: u8 = 16;

/// The number of daemons started so far, used in unique file names.
static STARTS: AtomicU32 = AtomicU32::new(0);

/// A daemon process; it is killed and its files are removed when this is dropped.
pub struct Daemon {
    /// The child process.
    pub child: Child,
    /// The member number, which is also the last byte of the IP address.
    pub number: u8,
    settings: PathBuf,
    output: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.output);
    }
}

/// The components around the daemons. Each test uses its own network
/// `127.90.net.0/24`, so that tests can run concurrently.
pub struct Site {
    net: u8,
    program: PathBuf,
    /// The key-value store.
    pub store: StoreServer,
    /// The caller's socket.
    pub caller: UdpSocket,
    /// The targets' sockets, starting with target 1.
    pub targets: Vec<UdpSocket>,
}

impl Site {
    /// Starts a store with one configuration and `targets` ready targets.
    /// `program` is the path of the daemon's executable.
    ///
    /// # Panics
    ///
    /// If an address of the network is in use.
    pub fn start(program: impl Into<PathBuf>, net: u8, targets: u8) -> Self {
        let address = |host, port| SocketAddr::from((Ipv4Addr::new(127, 90, net, host), port));
        let store = StoreServer::start(address(250, 8_169)).expect("starting the store");
        let bind = |addr: SocketAddr| {
            let socket = UdpSocket::bind(addr).expect("binding an address of the site's network");
            socket
                .set_read_timeout(Some(Duration::from_millis(20)))
                .expect("setting the read timeout");
            socket
        };
        let site = Self {
            net,
            program: program.into(),
            store,
            caller: bind(address(200, PACKETS_PORT)),
            targets: (1..=targets)
                .map(|n| bind(address(100 + n, 8_602)))
                .collect(),
        };
        site.put_config(1, &[ROUTE_PORT]);
        for n in 1..=targets {
            site.put_target(n, "ready");
        }
        site
    }

    /// Returns the address of a host in the site's network.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 90, self.net, host), port))
    }

    /// Writes a configuration with this version and a route for each port to the store.
    pub fn put_config(&self, version: u64, ports: &[u16]) {
        let routes: Vec<_> = ports
            .iter()
            .map(|port| {
                json!({"name": format!("r{port}"), "host": "198.18.0.1", "type": "safe",
                    "prefix": format!("/{port}/"), "service": "classes", "timeoutMs": 2000})
            })
            .collect();
        let config = json!({"version": version, "routes": routes, "services": [],
            "limits": {"idleTimeoutMs": 15000}});
        self.store.put("op/config", config.to_string().as_bytes());
    }

    /// Writes the entry of target `n` with this state to the store.
    pub fn put_target(&self, n: u8, state: &str) {
        let entry = json!({"service": "classes", "address": self.address(100 + n, 8_602).to_string(),
            "zone": "a", "version": "v1", "slots": 2, "state": state, "warmupLeftMs": 0,
            "seq": 1, "born": 1});
        let key = format!("servers/{}", target_name(n));
        self.store.put(&key, entry.to_string().as_bytes());
    }

    /// Starts daemon `number`, which listens on the host of that number. `seeds`
    /// are the numbers of the seed members.
    ///
    /// # Panics
    ///
    /// If the files cannot be written or the process does not start.
    pub fn daemon(&self, number: u8, seeds: &[u8]) -> Daemon {
        self.daemon_with_store(number, seeds, self.store.addr())
    }

    /// Starts a daemon like [`daemon`](Self::daemon), with another store address.
    ///
    /// # Panics
    ///
    /// If the files cannot be written or the process does not start.
    pub fn daemon_with_store(&self, number: u8, seeds: &[u8], store: SocketAddr) -> Daemon {
        let seeds: Vec<_> = seeds.iter().map(|&n| self.address(n, PEER_PORT)).collect();
        self.daemon_in_zone(number, "a", &seeds, store)
    }

    /// Starts daemon `number` in an availability zone, with the addresses of the feeds of
    /// its seeds and that of its store.
    ///
    /// # Panics
    ///
    /// If the files cannot be written or the process does not start.
    pub fn daemon_in_zone(
        &self,
        number: u8,
        zone: &str,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Daemon {
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let temp_file = |extension: &str| {
            let (process, net) = (std::process::id(), self.net);
            let name = format!("cicadaweird-{process}-{net}-{number}-{start}.{extension}");
            std::env::temp_dir().join(name)
        };
        let (settings, output) = (temp_file("toml"), temp_file("log"));
        fs::write(&settings, self.settings(number, zone, seeds, store))
            .expect("writing the settings file");
        let out = fs::File::create(&output).expect("creating the log file");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::from(out))
            .spawn()
            .expect("starting the daemon");
        Daemon {
            child,
            number,
            settings,
            output,
        }
    }

    fn settings(&self, number: u8, zone: &str, seeds: &[SocketAddr], store: SocketAddr) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "carrier = \"cookie\"\nseeds = [{}]\n[member]\nname = \"vm-{number}\"\nzone = \"{zone}\"\n\
             [listen]\npackets = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\npeer = \"{}\"\n\
             [store]\naddress = \"{store}\"\n",
            seeds.join(", "),
            self.address(number, PACKETS_PORT),
            self.address(number, 8_167),
            self.address(number, 8_168),
            self.address(number, PEER_PORT),
        )
    }

    /// Waits until the readiness check of a daemon succeeds.
    ///
    /// # Panics
    ///
    /// If the wait times out.
    pub fn wait_ready(&self, daemon: &Daemon) {
        wait_until("the daemon is ready", || {
            self.readiness_status(daemon) == Some(200)
        });
    }

    /// Returns the HTTP status of a daemon's readiness check, or `None` if it does
    /// not answer.
    pub fn readiness_status(&self, daemon: &Daemon) -> Option<u16> {
        let (status, _) = http(self.address(daemon.number, 8_167), ready::PATH)?;
        Some(status)
    }

    /// Returns the value of the first metric whose line starts with `prefix`.
    pub fn metric(&self, daemon: &Daemon, prefix: &str) -> Option<f64> {
        let (_, text) = http(self.address(daemon.number, 8_168), "/metrics")?;
        let found = text.lines().find(|l| l.starts_with(prefix))?;
        found.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until a daemon has applied this version of the configuration.
    ///
    /// # Panics
    ///
    /// If the wait times out.
    pub fn wait_version(&self, daemon: &Daemon, version: f64) {
        wait_until(
            &format!("configuration version {version} is applied"),
            || self.metric(daemon, "cicadaweir_config_version") == Some(version),
        );
    }

    /// Sends a packet from the caller to a daemon.
    ///
    /// # Panics
    ///
    /// If the socket returns an error.
    pub fn send(&self, daemon: &Daemon, bytes: &[u8]) {
        let to = self.address(daemon.number, PACKETS_PORT);
        self.caller
            .send_to(bytes, to)
            .expect("sending a packet over loopback");
    }

    /// Returns a datagram received by any target, with the target's number, or
    /// `None` if none arrives within the sockets' read timeouts.
    pub fn receive_at_targets(&self) -> Option<(u8, Vec<u8>)> {
        let mut buf = [0; packet::MAX_DATAGRAM_BYTES];
        self.targets.iter().zip(1..).find_map(|(target, n)| {
            let bytes = target.recv(&mut buf).ok()?;
            Some((n, buf[..bytes].to_vec()))
        })
    }

    /// Sends a packet until a target receives it; returns the target's number and
    /// the datagram. Delayed packets of other flows are ignored.
    ///
    /// # Panics
    ///
    /// If the wait times out.
    pub fn send_until_delivered(&self, daemon: &Daemon, bytes: &[u8]) -> (u8, Vec<u8>) {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            self.send(daemon, bytes);
            if let Some((n, datagram)) = self.receive_at_targets() {
                if datagram[packet::TARGET_ID_BYTES..][..FLOW_BYTES] == bytes[..FLOW_BYTES] {
                    return (n, datagram);
                }
            }
        }
        panic!("no target received the packet within {WAIT_TIMEOUT:?}");
    }

    /// Sends a packet until the caller receives an answer; returns the answer.
    ///
    /// # Panics
    ///
    /// If the wait times out.
    pub fn send_until_answered(&self, daemon: &Daemon, bytes: &[u8]) -> Vec<u8> {
        let mut buf = [0; 2_048];
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            self.send(daemon, bytes);
            if let Ok(count) = self.caller.recv(&mut buf) {
                return buf[..count].to_vec();
            }
        }
        panic!("the caller received no answer within {WAIT_TIMEOUT:?}");
    }
}

impl Daemon {
    /// Sends a signal to the process, by its name without `SIG`.
    ///
    /// # Panics
    ///
    /// If `kill` fails.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "sending signal {name} failed"
        );
    }

    /// Replaces a text in the settings file.
    ///
    /// # Panics
    ///
    /// If the settings do not contain `from`, or on an I/O error.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("reading the settings file");
        assert!(text.contains(from), "the settings do not contain {from:?}");
        fs::write(&self.settings, text.replace(from, to)).expect("writing the settings file");
    }

    /// Waits for a line of the log output that contains all of these texts.
    ///
    /// # Panics
    ///
    /// If the wait times out.
    pub fn wait_line(&self, texts: &[&str]) {
        wait_until(&format!("the log has a line with {texts:?}"), || {
            let output = fs::read_to_string(&self.output).unwrap_or_default();
            let mut lines = output.lines();
            lines.any(|line| texts.iter().all(|text| line.contains(text)))
        });
    }
}

/// Returns the name of target `n` in the store.
pub fn target_name(n: u8) -> String {
    format!("i-00000000{n:02x}")
}

/// Returns the identity of target `n`.
pub fn target_identity(n: u8) -> Identity {
    Identity(u64::from(n))
}

/// The header fields of a caller's packet other than its addresses.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeaderFields {
    /// The flags.
    pub flags: u8,
    /// The sequence number.
    pub sequence: u32,
    /// The acknowledgement number; in an opening, the number of times it was sent
    /// before.
    pub ack: u32,
    /// The cookie of the target.
    pub cookie: u32,
}

/// Returns a packet from the caller of network `net` to a port of the route's address.
pub fn packet_with(net: u8, caller: u16, port: u16, header: HeaderFields, data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&port.to_be_bytes());
    bytes.extend_from_slice(&[127, 90, net, 200]);
    bytes.extend_from_slice(&[198, 18, 0, 1]);
    bytes.extend_from_slice(&caller.to_be_bytes());
    bytes.extend_from_slice(&header.sequence.to_be_bytes());
    bytes.extend_from_slice(&header.ack.to_be_bytes());
    bytes.extend_from_slice(&[header.flags, 0]);
    bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
    // The keyed checksum, which daemons forward without verifying it.
    bytes.extend_from_slice(&7u32.to_be_bytes());
    bytes.extend_from_slice(&header.cookie.to_be_bytes());
    bytes.extend_from_slice(data);
    bytes
}

/// Returns a packet from a caller on network 0, which receives no answers.
pub fn packet(caller: u16, port: u16, flags: u8, cookie: u32, data: &[u8]) -> Vec<u8> {
    let header = HeaderFields {
        flags,
        sequence: 100,
        cookie,
        ..HeaderFields::default()
    };
    packet_with(0, caller, port, header, data)
}

/// Returns a packet from the caller of a site, which receives the answers.
pub fn packet_from_caller(site: &Site, caller: u16, port: u16, flags: u8) -> Vec<u8> {
    let header = HeaderFields {
        flags,
        ..HeaderFields::default()
    };
    packet_with(site.net, caller, port, header, &[])
}

/// Returns the cookie of target `n`.
pub fn target_cookie(n: u8) -> u32 {
    Cookie::of(target_identity(n)).0
}

/// Waits until a condition is true; `what` describes it.
///
/// # Panics
///
/// If the wait times out.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting until {what}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

fn http(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}
