//! Three daemon processes carry flows whose packets arrive at all three.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command},
    time::Duration,
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

const SITE: Site = Site {
    number: 21,
    entry_vms: 3,
    zones: 3,
};
const TARGETS: u8 = 4;
const PATIENCE: Duration = Duration::from_secs(20);

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_daemon(member: u8, dir: &std::path::Path) -> Process {
    let path = dir.join(format!("{member}.toml"));
    let text = toml::to_string(&SITE.settings(member)).expect("settings have a TOML form");
    std::fs::write(&path, text).expect("the settings file is written");
    let child = Command::new(env!("CARGO_BIN_EXE_cicadaweird"))
        .arg("--settings")
        .arg(&path)
        .env("RUST_LOG", "warn")
        .spawn()
        .expect("the daemon starts");
    Process(child)
}

fn start_target(service: &str, number: u8) -> TargetServer {
    TargetServer::start(TargetOptions {
        service: service.to_owned(),
        name: format!("t{number}"),
        endpoint: SITE.target(number),
        entry_vms: SITE.tunnels(),
        probe: SITE.load(number),
        connections: 2_000,
        slots: 2,
    })
    .expect("the target starts")
}

fn first_note() -> String {
    let mut text = String::from("[[add.service]]\nname = \"board\"\n");
    text += "addresses = [\"tcp://203.0.113.10:443\", \"udp://203.0.113.10:53\", \"tcp://[2001:db8::1]:443\"]\n";
    for number in 1..=TARGETS {
        text += &format!(
            "[[add.service.target]]\nname = \"t{number}\"\nendpoint = \"{}\"\nzone = {}\nprobe = \"{}\"\n",
            SITE.target(number),
            SITE.zone(number),
            SITE.load(number)
        );
    }
    text
}

fn plan(protocol: Protocol, port: u16, address: &str) -> FlowPlan {
    let address: SocketAddr = address.parse().expect("an address");
    let caller: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::new(198, 51, 100, 7), port).into(),
        SocketAddr::V6(_) => (
            "2001:db8:ffff::7"
                .parse::<std::net::Ipv6Addr>()
                .expect("an address"),
            port,
        )
            .into(),
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

#[test]
fn three_processes_carry_flows_whose_packets_arrive_at_all_three() {
    let dir = std::env::temp_dir().join(format!("cicadaweir-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder for settings");
    let platform = PlatformServer::start(SITE.platform()).expect("the platform starts");
    platform.set_members(SITE.list());
    let targets: Vec<TargetServer> = (1..=TARGETS).map(|n| start_target("board", n)).collect();
    let _daemons: Vec<Process> = SITE.members().map(|m| start_daemon(m, &dir)).collect();

    let client = HttpPlatform::new(SITE.platform(), SITE.platform());
    let options = publish::Options {
        file: note::parse(&first_note()).expect("the note parses"),
        id: NoteId(1),
        ..publish::Options::default()
    };
    let outcome = publish::publish(&client, &options).expect("the note is accepted");
    let fleet = Fleet::new(SITE.members().map(|m| SITE.control(m)).collect());
    let in_force = wait_for_all(&fleet, outcome.revision.0);
    assert!(in_force, "all three have the note in force");

    let mut fabric = Fabric::bind(SITE.fabric(), 7).expect("the fabric binds");
    fabric.set_entry_vms(SITE.tunnels());
    let mut callers = CallerPool::new(fabric);
    for port in 0..60 {
        callers.open(plan(Protocol::Tcp, 20_000 + port, "203.0.113.10:443"));
        callers.open(plan(Protocol::Udp, 30_000 + port, "203.0.113.10:53"));
        callers.open(plan(Protocol::Tcp, 40_000 + port, "[2001:db8::1]:443"));
    }
    callers.run(Duration::from_secs(3));
    let tally = callers.tally.clone();
    callers.close();
    callers.run(Duration::from_millis(200));

    assert_eq!(tally.opened, 120, "{tally:?}");
    assert_eq!(tally.broken + tally.moved + tally.refused, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.wrong_answer, 0, "{tally:?}");
    assert!(tally.answered >= 180, "every flow was answered: {tally:?}");
    for (control, status) in fleet.status() {
        let status = status.unwrap_or_else(|| panic!("{control} answers"));
        let forwarded = status.counters.get("forwarded.remembered");
        assert!(forwarded > Some(&0), "packets of flows came to {control}");
    }
    let begun: Vec<u64> = targets.iter().map(|t| t.app().begun).collect();
    assert!(
        begun.iter().all(|&b| b > 0),
        "every target works: {begun:?}"
    );
}

fn wait_for_all(fleet: &Fleet, revision: u64) -> bool {
    let started = std::time::Instant::now();
    while started.elapsed() < PATIENCE {
        let result = fleet.wait_in_force(revision, PATIENCE);
        if result.everywhere && result.silent.is_empty() {
            let active = fleet.status().iter().all(|(_, s)| {
                s.as_ref()
                    .is_some_and(|s| s.phase == "active" && s.members.len() == 3)
            });
            if active {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
