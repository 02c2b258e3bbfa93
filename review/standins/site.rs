//! A small deployment on loopback: the store, daemons in availability zones, and the
//! routers in front of them.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{packet::Packet, record::Record, store::Store};

/// The interval and the timeout of the readiness checks.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The misses after which a daemon is out of rotation.
const MISSES: u32 = 2;

/// The pause before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

static IS_ENDED: AtomicBool = AtomicBool::new(false);

/// The processes that run, which are ended in any case.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one when this process gets SIGTERM or SIGINT.
pub fn end_on_signals() {
    extern "C" fn on_signal(_: i32) {
        IS_ENDED.store(true, Ordering::SeqCst);
    }
    for number in [SIGTERM, 2] {
        // SAFETY: the handler only stores to an atomic.
        unsafe { signal(number, on_signal) };
    }
    thread::spawn(|| {
        while !IS_ENDED.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run("ended by a signal");
    });
}

/// Kills all processes that this program started.
pub fn kill_all() {
    for pid in PROCESSES
        .lock()
        .unwrap_or_else(|err| err.into_inner())
        .drain(..)
    {
        // SAFETY: `kill` has no memory effects; the process is a child that was not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// The addresses of a site and what all of its parts share.
pub struct Site {
    /// The second byte of all addresses.
    net: u8,
    pub packet_port: u16,
    pub target_port: u16,
    pub store: Store,
    record: Record,
    folder: PathBuf,
    socket: UdpSocket,
    pub daemons: Mutex<Vec<Arc<Daemon>>>,
}

/// A daemon's process and its place in the rotation.
pub struct Daemon {
    pub name: String,
    pub zone: usize,
    pub ip: Ipv4Addr,
    pub is_seed: bool,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    in_rotation: AtomicBool,
    /// The end of the last disruption of the process.
    disturbed: Mutex<Instant>,
    is_stopped: AtomicBool,
}

impl Site {
    pub fn start(record: &Record) -> Arc<Self> {
        let (net, port) = free_network();
        let folder = std::env::temp_dir().join(format!("cicadaweir-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|err| crate::cannot_run(&err.to_string()));
        let store = Store::default();
        for zone in 0..3u8 {
            let ip = Ipv4Addr::new(127, net, 250, 10 + zone);
            store.listen(SocketAddr::from((ip, port + 4)), zone.into());
        }
        Arc::new(Self {
            net,
            packet_port: port,
            target_port: port + 5,
            store,
            record: record.clone(),
            folder,
            socket: UdpSocket::bind((Ipv4Addr::new(127, net, 250, 8), 0)).unwrap(),
            daemons: Mutex::default(),
        })
    }

    pub fn ip(&self, third: u8, fourth: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, third, fourth)
    }

    /// Writes a configuration; returns when the store confirmed it.
    pub fn put_config(&self, version: u64, routes: &[Route]) -> Instant {
        let routes: Vec<String> = routes.iter().map(Route::json).collect();
        let mut services: Vec<String> = Vec::new();
        for service in ["classes", "sheets"] {
            services.push(format!(
                "{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}}"
            ));
        }
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &text);
        self.record.line(&format!(
            "store: version {version} confirmed, {} routes",
            routes.len()
        ));
        Instant::now()
    }

    /// Adds a daemon whose seeds have these addresses, and starts it.
    pub fn add_daemon(
        self: &Arc<Self>,
        zone: usize,
        number: u8,
        seeds: &[SocketAddr],
    ) -> Arc<Daemon> {
        let ip = self.ip(zone as u8, number);
        let name = format!("front-{}-{number}", zone_name(zone));
        let settings = self.folder.join(format!("{name}.toml"));
        let is_seed = seeds.contains(&self.peer_addr(zone, number));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "# Settings of one entry VM, filled in by the platform.\ncarrier = \"cookie\"\nseeds = [{}]\n\n[member]\nname = \"{name}\"\nzone = \"{}\"\n\n[listen]\npackets = \"{ip}:{}\"\nready = \"{ip}:{}\"\nmetrics = \"{ip}:{}\"\npeer = \"{ip}:{}\"\n\n[store]\naddress = \"{}\"\n\n[limits]\nflow_ttl_secs = 60\n",
            seeds.join(","),
            zone_name(zone),
            self.packet_port,
            self.packet_port + 1,
            self.packet_port + 3,
            self.packet_port + 2,
            SocketAddr::from((self.ip(250, 10 + zone as u8), self.packet_port + 4)),
        );
        fs::write(&settings, text).unwrap_or_else(|err| crate::cannot_run(&err.to_string()));
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        let daemon = Arc::new(Daemon {
            name,
            zone,
            ip,
            is_seed,
            settings,
            log,
            child: Mutex::new(child),
            in_rotation: AtomicBool::new(false),
            disturbed: Mutex::new(Instant::now()),
            is_stopped: AtomicBool::new(false),
        });
        self.daemons.lock().unwrap().push(Arc::clone(&daemon));
        let (site, probed) = (Arc::clone(self), Arc::clone(&daemon));
        thread::spawn(move || site.probe(&probed));
        daemon
    }

    /// Returns the address of a daemon's feed.
    pub fn peer_addr(&self, zone: usize, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(zone as u8, number), self.packet_port + 2))
    }

    /// Checks a daemon's readiness twice a second.
    fn probe(&self, daemon: &Daemon) {
        let mut misses = 0;
        let mut next = Instant::now();
        loop {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += PROBE_INTERVAL;
            let addr = SocketAddr::from((daemon.ip, self.packet_port + 1));
            let is_ready = get(addr, "/-/ready", PROBE_INTERVAL) == Some(200);
            misses = if is_ready { 0 } else { misses + 1 };
            let was = daemon.in_rotation.load(Ordering::SeqCst);
            let is = is_ready || (was && misses < MISSES);
            if is != was {
                daemon.in_rotation.store(is, Ordering::SeqCst);
                self.record.line(&format!(
                    "{} is {} rotation",
                    daemon.name,
                    if is { "in" } else { "out of" }
                ));
            }
        }
    }

    /// Sends a caller's packet to a daemon of its zone.
    pub fn route(&self, zone: usize, packet: &Packet) {
        if let Some(daemon) = self.daemon_for(zone, packet) {
            let to = SocketAddr::from((daemon.ip, self.packet_port));
            let _ = self.socket.send_to(&packet.encode(), to);
        }
    }

    /// Returns the daemon to which the routers of a zone send a flow's packets now.
    pub fn daemon_for(&self, zone: usize, packet: &Packet) -> Option<Arc<Daemon>> {
        let daemons = self.daemons.lock().unwrap();
        let all: Vec<_> = daemons
            .iter()
            .filter(|daemon| daemon.zone == zone)
            .collect();
        let ready: Vec<_> = all
            .iter()
            .copied()
            .filter(|daemon| daemon.in_rotation.load(Ordering::SeqCst))
            .collect();
        let chosen = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let at = hash(packet) as usize % chosen.len().max(1);
        chosen.get(at).map(|daemon| Arc::clone(daemon))
    }

    /// Waits until a daemon is in rotation, or out of it.
    pub fn wait_rotation(&self, daemon: &Daemon, is_in: bool) {
        let end = Instant::now() + Duration::from_secs(10);
        while daemon.in_rotation.load(Ordering::SeqCst) != is_in {
            if Instant::now() > end {
                crate::cannot_run(&format!("the rotation of {} did not change", daemon.name));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the daemon at an address.
    pub fn daemon_at(&self, ip: Ipv4Addr) -> Option<Arc<Daemon>> {
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().find(|daemon| daemon.ip == ip).cloned()
    }

    /// Waits until all daemons are in rotation.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let daemons = self.daemons.lock().unwrap();
            if daemons
                .iter()
                .all(|daemon| daemon.in_rotation.load(Ordering::SeqCst))
            {
                return;
            }
            drop(daemons);
            if Instant::now() > end {
                crate::cannot_run("the daemons are not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Copies what the daemons wrote to the folder of the case, and removes the rest.
    pub fn finish(&self, keep: Option<&str>) {
        kill_all();
        if let Some(folder) = keep {
            for daemon in self.daemons.lock().unwrap().iter() {
                let _ = fs::copy(&daemon.log, format!("{folder}/{}.log", daemon.name));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Daemon {
    fn signal(&self, signal: i32) {
        let pid = self.child.lock().unwrap().id();
        // SAFETY: `kill` has no memory effects; the process is a child that was not waited for.
        unsafe { kill(pid as i32, signal) };
    }

    pub fn freeze(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.signal(SIGSTOP);
    }

    pub fn wake(&self) {
        self.signal(SIGCONT);
        *self.disturbed.lock().unwrap() = Instant::now();
        self.is_stopped.store(false, Ordering::SeqCst);
    }

    /// Kills the process without starting it again.
    pub fn kill(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.signal(SIGKILL);
    }

    /// Stops the process as the platform does, waits for its end for at most `grace`
    /// and starts it again.
    pub fn restart(&self, grace: Duration) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.signal(SIGTERM);
        let end = Instant::now() + grace;
        while self
            .child
            .lock()
            .unwrap()
            .try_wait()
            .ok()
            .flatten()
            .is_none()
        {
            if Instant::now() >= end {
                self.signal(SIGKILL);
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(RESTART_DELAY);
        self.start_again();
    }

    pub fn start_again(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.wait();
        PROCESSES.lock().unwrap().retain(|pid| *pid != child.id());
        *child = spawn(&self.settings, &self.log);
        *self.disturbed.lock().unwrap() = Instant::now();
        self.is_stopped.store(false, Ordering::SeqCst);
    }

    /// Returns the resident memory of the process in bytes, without mapped files.
    pub fn memory(&self) -> u64 {
        let pid = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    /// Kills the process, as the platform does when it exceeds its memory, and starts
    /// it again.
    pub fn end_for_memory(&self) {
        self.kill();
        thread::sleep(RESTART_DELAY);
        self.start_again();
    }

    /// Returns whether the process was free of disruption for `span`.
    pub fn calm_for(&self, span: Duration) -> bool {
        !self.is_stopped.load(Ordering::SeqCst) && self.disturbed.lock().unwrap().elapsed() >= span
    }
}

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub ip: Ipv4Addr,
    pub port: u16,
    pub kind: &'static str,
    /// The services with their weights.
    pub services: &'static [(&'static str, u32)],
}

impl Route {
    fn json(&self) -> String {
        let backends: Vec<String> = self
            .services
            .iter()
            .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
            .collect();
        let services = match self.services {
            [(service, _)] => format!("\"service\":\"{service}\""),
            _ => format!("\"backends\":[{}]", backends.join(",")),
        };
        format!(
            "{{\"name\":\"{}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"{}\",\"timeoutMs\":2500,\"aimMs\":200,\"priority\":1,{services},\"attempts\":2}}",
            self.name, self.ip, self.port, self.kind
        )
    }
}

pub fn zone_name(zone: usize) -> &'static str {
    ["quito-a", "quito-b", "cumbaya"][zone]
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let out = fs::File::options().create(true).append(true).open(log);
    let out = out.unwrap_or_else(|err| crate::cannot_run(&err.to_string()));
    let child = Command::new("target/release/cicadaweird")
        .arg("--settings")
        .arg(settings)
        .env("CICADAWEIR_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(out.try_clone().unwrap()))
        .stderr(Stdio::from(out))
        .spawn()
        .unwrap_or_else(|err| crate::cannot_run(&format!("target/release/cicadaweird: {err}")));
    PROCESSES.lock().unwrap().push(child.id());
    child
}

/// Returns the status of a GET request, `None` without an answer within `timeout`.
pub fn get(addr: SocketAddr, path: &str, timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut buf = [0; 64];
    let len = stream.read(&mut buf).ok()?;
    String::from_utf8_lossy(&buf[..len])
        .split(' ')
        .nth(1)?
        .parse()
        .ok()
}

fn hash(packet: &Packet) -> u32 {
    let mut sum = 0x811c_9dc5_u32;
    let mut add = |bytes: &[u8]| {
        for &byte in bytes {
            sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
    };
    add(&packet.src.to_be_bytes());
    add(&packet.sport.to_be_bytes());
    add(&packet.dst.to_be_bytes());
    add(&packet.dport.to_be_bytes());
    sum ^ (sum >> 15)
}

/// Returns a network 127.N.0.0/16 and the first of seven ports that are free there.
fn free_network() -> (u8, u16) {
    let pid = std::process::id();
    for attempt in 0..50u32 {
        let seed = pid.wrapping_mul(31).wrapping_add(attempt * 7_919);
        let (net, port) = (20 + (seed % 200) as u8, 20_000 + (seed / 7 % 10_000) as u16);
        let ips = [
            Ipv4Addr::new(127, net, 0, 10),
            Ipv4Addr::new(127, net, 250, 7),
        ];
        let is_free = ips.iter().all(|&ip| {
            (0..7).all(|n| {
                TcpListener::bind((ip, port + n)).is_ok() && UdpSocket::bind((ip, port + n)).is_ok()
            })
        });
        if is_free {
            return (net, port);
        }
    }
    crate::cannot_run("no free ports")
}
