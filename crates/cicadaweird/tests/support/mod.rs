//! A cluster of three daemon processes with targets, the platform and callers.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command},
    time::{Duration, Instant},
};

use cicadaweir::{fleet::Fleet, publish};
use cicadaweir_core::{catalog::NoteId, flow::Protocol};
use cicadaweir_proto::note;
use cicadaweir_standins::{
    caller::{CallerPool, FlowPlan},
    fabric::Fabric,
    platform::PlatformServer,
    site::Site,
    target::{TargetOptions, TargetServer},
};
use cicadaweird::platform::HttpPlatform;

/// The number of targets that the first note adds to the service.
pub const TARGETS: u8 = 4;

/// How long to wait for a revision to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon process; killed on drop.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.0.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "sending signal {name} failed"
        );
    }
}

/// Three daemon processes with their surroundings, and one note in force.
pub struct TestCluster {
    pub site: Site,
    pub platform: PlatformServer,
    pub targets: Vec<TargetServer>,
    pub daemons: Vec<Process>,
    pub fleet: Fleet,
    pub callers: CallerPool,
    next_note: u128,
}

impl TestCluster {
    /// Starts everything at the addresses of site `number` and waits until the
    /// first note is in force.
    pub fn start(number: u8) -> Self {
        let site = Site {
            number,
            entry_vms: 3,
            zones: 3,
        };
        let platform = PlatformServer::start(site.platform()).expect("the platform starts");
        platform.set_members(site.list());
        let targets = (1..=TARGETS + 1).map(|n| start_target(&site, n)).collect();
        let daemons = site.members().map(|m| start_daemon(&site, m)).collect();
        let mut fabric = Fabric::bind(site.fabric(), 7).expect("the fabric binds");
        fabric.set_entry_vms(site.tunnels());
        let mut cluster = Self {
            fleet: Fleet::new(site.members().map(|m| site.control(m)).collect()),
            site,
            platform,
            targets,
            daemons,
            callers: CallerPool::new(fabric),
            next_note: 1,
        };
        let first = first_note(&site);
        let revision = cluster.publish(&first);
        assert!(
            cluster.wait_until_in_force(revision, 3),
            "the first note is not in force at all three"
        );
        cluster
    }

    /// Publishes a note and returns its revision.
    pub fn publish(&mut self, text: &str) -> u64 {
        let client = HttpPlatform::new(self.site.platform(), self.site.platform());
        let options = publish::Options {
            file: note::parse(text).expect("the note parses"),
            id: NoteId(self.next_note),
            now_ms: publish::now_ms(),
            ..publish::Options::default()
        };
        self.next_note += 1;
        publish::publish(&client, &options)
            .expect("the note is accepted")
            .revision
            .0
    }

    /// Waits until `count` entry VMs are active, know `count` alive members and
    /// have `revision` in force; returns whether that happened in time.
    pub fn wait_until_in_force(&self, revision: u64, count: usize) -> bool {
        let started = Instant::now();
        while started.elapsed() < IN_FORCE_TIMEOUT {
            let status = self.fleet.status();
            let ready = status.iter().filter_map(|s| s.1.as_ref()).filter(|s| {
                let known = s.members.iter().filter(|m| m.health == "alive").count();
                s.phase == "active" && s.in_force >= revision && known >= count
            });
            if ready.count() >= count {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Opens `per_kind` flows of each kind: TCP and UDP over IPv4, and TCP over IPv6.
    pub fn open_flows(&mut self, per_kind: u16) {
        for port in 0..per_kind {
            self.callers
                .open(plan(Protocol::Tcp, 20_000 + port, "203.0.113.10:443"));
            self.callers
                .open(plan(Protocol::Udp, 30_000 + port, "203.0.113.10:53"));
            self.callers
                .open(plan(Protocol::Tcp, 40_000 + port, "[2001:db8::1]:443"));
        }
    }

    /// Sets the entry VMs among which the fabric and the targets spread packets.
    pub fn set_entry_vms(&mut self, members: &[u8]) {
        let tunnels: Vec<SocketAddr> = members.iter().map(|&m| self.site.tunnel(m)).collect();
        for target in &self.targets {
            target.set_entry_vms(tunnels.clone());
        }
        self.callers.fabric.set_entry_vms(tunnels);
    }

    /// Returns the note that adds the fifth target and withdraws the first.
    pub fn second_note(&self) -> String {
        let number = TARGETS + 1;
        format!(
            "[[add.target]]\nservice = \"board\"\n{}[withdraw]\ntarget = [\"board/t1\"]\n",
            target_entry(&self.site, number)
        )
    }

    /// Asserts that no flow was broken, moved or refused, and that only targets of
    /// the right service answered.
    pub fn assert_flows_intact(&self, when: &str) {
        let tally = &self.callers.tally;
        assert_eq!(
            tally.broken + tally.moved + tally.refused,
            0,
            "{when}: {tally:?}"
        );
        assert_eq!(
            tally.wrong_service + tally.wrong_answer,
            0,
            "{when}: {tally:?}"
        );
    }
}

/// Starts a daemon process.
pub fn start_daemon(site: &Site, member: u8) -> Process {
    let name = format!("cicadaweir-{}-{}", std::process::id(), site.number);
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("the settings directory is created");
    let path = dir.join(format!("{member}.toml"));
    let mut settings = site.settings(member);
    settings.limits.quiet_stop_secs = 1;
    let text = toml::to_string(&settings).expect("the settings can be written as TOML");
    std::fs::write(&path, text).expect("the settings file is written");
    let child = Command::new(env!("CARGO_BIN_EXE_cicadaweird"))
        .arg("--settings")
        .arg(&path)
        .env("RUST_LOG", "error")
        .spawn()
        .expect("the daemon starts");
    Process(child)
}

fn start_target(site: &Site, number: u8) -> TargetServer {
    TargetServer::start(TargetOptions {
        service: "board".to_owned(),
        name: format!("t{number}"),
        endpoint: site.target(number),
        entry_vms: site.tunnels(),
        probe: site.load_endpoint(number),
        connections: 2_000,
        slots: 2,
    })
    .expect("the target starts")
}

fn target_entry(site: &Site, number: u8) -> String {
    format!(
        "name = \"t{number}\"\nendpoint = \"{}\"\nzone = {}\nprobe = \"{}\"\n",
        site.target(number),
        site.zone(number),
        site.load_endpoint(number)
    )
}

fn first_note(site: &Site) -> String {
    let mut text = String::from("[[add.service]]\nname = \"board\"\n");
    text += "addresses = [\"tcp://203.0.113.10:443\", \"udp://203.0.113.10:53\", ";
    text += "\"tcp://[2001:db8::1]:443\"]\n";
    for number in 1..=TARGETS {
        text += &format!("[[add.service.target]]\n{}", target_entry(site, number));
    }
    text
}

fn plan(protocol: Protocol, port: u16, address: &str) -> FlowPlan {
    let address: SocketAddr = address.parse().expect("a socket address");
    let caller: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::new(198, 51, 100, 7), port).into(),
        SocketAddr::V6(_) => format!("[2001:db8:ffff::7]:{port}")
            .parse()
            .expect("a socket address"),
    };
    FlowPlan {
        protocol,
        caller,
        address,
        service: "board".to_owned(),
        pause: Duration::from_millis(50),
        work: Duration::from_micros(200),
        packets: 3,
    }
}
