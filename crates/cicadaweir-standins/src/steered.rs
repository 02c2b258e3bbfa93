//! A site on loopback for daemons whose packets name their target: a store,
//! daemon processes, targets and one caller.

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

/// How long something may take that has to happen at all.
const PATIENCE: Duration = Duration::from_secs(30);

/// The port of packets, of callers too.
const PACKETS: u16 = 8_172;

/// The bytes of a head that name its flow.
const FLOW_BYTES: usize = 12;

/// The port of the route.
pub const ROUTE_PORT: u16 = 8_443;

/// The flag of openings.
pub const SYN: u8 = 2;

/// The flag of acknowledgements.
pub const ACK: u8 = 64;

/// The flag of resets.
pub const RST: u8 = 16;

/// Daemons started so far, so that each has files of its own.
static STARTS: AtomicU32 = AtomicU32::new(0);

/// A daemon process; killed at the end.
pub struct Daemon {
    /// The process.
    pub child: Child,
    /// The last number of its address.
    pub number: u8,
    settings: PathBuf,
    output: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.output);
    }
}

/// Everything around the daemons. Each test has a network of its own.
pub struct Site {
    net: u8,
    program: PathBuf,
    /// The store.
    pub store: StoreServer,
    /// The caller's socket.
    pub caller: UdpSocket,
    /// The targets' sockets, from target 1 on.
    pub targets: Vec<UdpSocket>,
}

impl Site {
    /// Starts a store with one configuration and `targets` targets; daemons
    /// will run `program`.
    ///
    /// # Panics
    ///
    /// If an address of the network is taken.
    pub fn start(program: impl Into<PathBuf>, net: u8, targets: u8) -> Self {
        let at = |host, port| SocketAddr::from((Ipv4Addr::new(127, 90, net, host), port));
        let store = StoreServer::start(at(250, 8_169)).expect("the store starts");
        let bind = |addr: SocketAddr| {
            let socket = UdpSocket::bind(addr).expect("an address of the test's own");
            socket
                .set_read_timeout(Some(Duration::from_millis(20)))
                .expect("a time-out");
            socket
        };
        let site = Self {
            net,
            program: program.into(),
            store,
            caller: bind(at(200, PACKETS)),
            targets: (1..=targets).map(|n| bind(at(100 + n, 8_602))).collect(),
        };
        site.put_config(1, &[ROUTE_PORT]);
        for n in 1..=targets {
            site.put_target(n, "ready");
        }
        site
    }

    /// Returns an address of the site's network.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 90, self.net, host), port))
    }

    /// Writes a configuration with a route for each port.
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

    /// Writes the entry of a target.
    pub fn put_target(&self, n: u8, state: &str) {
        let entry = json!({"service": "classes", "address": self.address(100 + n, 8_602).to_string(),
            "zone": "a", "version": "v1", "slots": 2, "state": state, "warmupLeftMs": 0,
            "seq": 1, "born": 1});
        let key = format!("servers/{}", target_name(n));
        self.store.put(&key, entry.to_string().as_bytes());
    }

    /// Starts daemon `number`, which listens on the host of that number.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn daemon(&self, number: u8, seeds: &[u8]) -> Daemon {
        self.daemon_with_store(number, seeds, self.store.addr())
    }

    /// The same with another address for the store.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn daemon_with_store(&self, number: u8, seeds: &[u8], store: SocketAddr) -> Daemon {
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let file = |kind: &str| {
            let (process, net) = (std::process::id(), self.net);
            let name = format!("cicadaweird-{process}-{net}-{number}-{start}.{kind}");
            std::env::temp_dir().join(name)
        };
        let (settings, output) = (file("toml"), file("log"));
        fs::write(&settings, self.settings(number, seeds, store)).expect("a settings file");
        let out = fs::File::create(&output).expect("a file for the output");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::from(out))
            .spawn()
            .expect("the daemon starts");
        Daemon {
            child,
            number,
            settings,
            output,
        }
    }

    fn settings(&self, number: u8, seeds: &[u8], store: SocketAddr) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|&seed| format!("\"{}\"", self.address(seed, 8_166)))
            .collect();
        format!(
            "carrier = \"cookie\"\nseeds = [{}]\n[member]\nname = \"vm-{number}\"\nzone = \"a\"\n\
             [listen]\npackets = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\npeer = \"{}\"\n\
             [store]\naddress = \"{store}\"\n",
            seeds.join(", "),
            self.address(number, PACKETS),
            self.address(number, 8_167),
            self.address(number, 8_168),
            self.address(number, 8_166),
        )
    }

    /// Waits until a daemon takes packets.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn wait_ready(&self, daemon: &Daemon) {
        wait_until("the daemon is ready", || {
            self.readiness_status(daemon) == Some(200)
        });
    }

    /// Returns the status with which a daemon answers whether it is ready.
    pub fn readiness_status(&self, daemon: &Daemon) -> Option<u16> {
        let (status, _) = http(self.address(daemon.number, 8_167), ready::PATH)?;
        Some(status)
    }

    /// Returns a metric of a daemon by the beginning of its line.
    pub fn metric(&self, daemon: &Daemon, line: &str) -> Option<f64> {
        let (_, text) = http(self.address(daemon.number, 8_168), "/metrics")?;
        let found = text.lines().find(|l| l.starts_with(line))?;
        found.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until a daemon has a configuration in force.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn wait_version(&self, daemon: &Daemon, version: f64) {
        wait_until(&format!("version {version} is in force"), || {
            self.metric(daemon, "cicadaweir_config_version") == Some(version)
        });
    }

    /// Sends a packet of the caller to a daemon.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn send(&self, daemon: &Daemon, bytes: &[u8]) {
        let to = self.address(daemon.number, PACKETS);
        self.caller.send_to(bytes, to).expect("loopback takes it");
    }

    /// Returns the next datagram that any target gets, with the target.
    pub fn arrived(&self) -> Option<(u8, Vec<u8>)> {
        let mut buf = [0; packet::MAX_DATAGRAM_BYTES];
        self.targets.iter().zip(1..).find_map(|(target, n)| {
            let bytes = target.recv(&mut buf).ok()?;
            Some((n, buf[..bytes].to_vec()))
        })
    }

    /// Sends a packet until a target gets it. Packets of other flows, sent
    /// before and read late, don't count.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn send_until_delivered(&self, daemon: &Daemon, bytes: &[u8]) -> (u8, Vec<u8>) {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            self.send(daemon, bytes);
            if let Some((n, got)) = self.arrived() {
                if got[packet::TARGET_ID_BYTES..][..FLOW_BYTES] == bytes[..FLOW_BYTES] {
                    return (n, got);
                }
            }
        }
        panic!("no target got the packet");
    }

    /// Sends a packet until the caller gets an answer.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn send_until_answered(&self, daemon: &Daemon, bytes: &[u8]) -> Vec<u8> {
        let mut buf = [0; 2_048];
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            self.send(daemon, bytes);
            if let Ok(count) = self.caller.recv(&mut buf) {
                return buf[..count].to_vec();
            }
        }
        panic!("the caller got no answer");
    }
}

impl Daemon {
    /// Sends a signal by name.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "signal {name}");
    }

    /// Replaces a word in the settings file.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("a settings file");
        assert!(text.contains(from), "{from} is not in the settings");
        fs::write(&self.settings, text.replace(from, to)).expect("a settings file");
    }

    /// Waits for a line of the output that holds all of these texts.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn wait_line(&self, texts: &[&str]) {
        wait_until(&format!("a line with {texts:?}"), || {
            let output = fs::read_to_string(&self.output).unwrap_or_default();
            let mut lines = output.lines();
            lines.any(|line| texts.iter().all(|text| line.contains(text)))
        });
    }
}

/// The name of a target in the store.
pub fn target_name(n: u8) -> String {
    format!("i-00000000{n:02x}")
}

/// The identity of a target.
pub fn target_identity(n: u8) -> Identity {
    Identity(u64::from(n))
}

/// What a caller's packet says beside its addresses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Head {
    /// The flags.
    pub flags: u8,
    /// The sequence number.
    pub sequence: u32,
    /// The acknowledged number, or how often an opening was sent before.
    pub ack: u32,
    /// The cookie.
    pub cookie: u32,
}

/// A packet of the caller of network `net` for a port of the route's address.
pub fn packet_with(net: u8, caller: u16, port: u16, head: Head, data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&port.to_be_bytes());
    bytes.extend_from_slice(&[127, 90, net, 200]);
    bytes.extend_from_slice(&[198, 18, 0, 1]);
    bytes.extend_from_slice(&caller.to_be_bytes());
    bytes.extend_from_slice(&head.sequence.to_be_bytes());
    bytes.extend_from_slice(&head.ack.to_be_bytes());
    bytes.extend_from_slice(&[head.flags, 0]);
    bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
    bytes.extend_from_slice(&7u32.to_be_bytes());
    bytes.extend_from_slice(&head.cookie.to_be_bytes());
    bytes.extend_from_slice(data);
    bytes
}

/// A caller's packet to which nobody can answer.
pub fn packet(caller: u16, port: u16, flags: u8, cookie: u32, data: &[u8]) -> Vec<u8> {
    let head = Head {
        flags,
        sequence: 100,
        cookie,
        ..Head::default()
    };
    packet_with(0, caller, port, head, data)
}

/// A packet of a site's own caller, so that answers come back to it.
pub fn packet_from_caller(site: &Site, caller: u16, port: u16, flags: u8) -> Vec<u8> {
    let head = Head {
        flags,
        ..Head::default()
    };
    packet_with(site.net, caller, port, head, &[])
}

/// The cookie of a target.
pub fn target_cookie(n: u8) -> u32 {
    Cookie::of(target_identity(n)).0
}

/// Waits for something that has to happen.
///
/// # Panics
///
/// If that fails.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not seen: {what}");
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
