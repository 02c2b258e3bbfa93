//! The processes of the demo other than callers: platform, daemons and targets.

use std::{io, net::IpAddr, time::Duration};

use cicadaweir_proto::note::{self, NoteFile};
use cicadaweir_standins::{
    platform::PlatformServer,
    site::Site,
    target::{TargetOptions, TargetServer},
};
use cicadaweird::{
    daemon::{self, Handle},
    platform::HttpPlatform,
};

use crate::fleet::Fleet;

/// The number of targets of the service `board`, which serves boards and bookings.
pub const BOARD_TARGETS: u8 = 14;

/// The number of targets of the service `sheet`, which serves downloads of schedule
/// sheets.
pub const SHEET_TARGETS: u8 = 4;

/// The maximum rate of answers at each entry VM, in bytes per second.
const MAX_ANSWER_RATE: u64 = 12_000_000;

/// The platform, the daemons and the targets of the demo.
pub struct Testbed {
    pub site: Site,
    /// Owned so that the server runs until the demo ends.
    _platform: PlatformServer,
    /// The daemons in order of member number; `None` while one is stopped.
    pub daemons: Vec<Option<Handle>>,
    pub targets: Vec<TargetServer>,
    pub fleet: Fleet,
}

impl Testbed {
    /// Starts the platform, all targets and all daemons.
    pub fn start(site: Site) -> io::Result<Self> {
        let platform = PlatformServer::start(site.platform())?;
        platform.set_members(site.list());
        // The last target is the one that the second release note adds.
        let last = BOARD_TARGETS + SHEET_TARGETS + 1;
        let targets = (1..=last)
            .map(|number| start_target(&site, number))
            .collect::<io::Result<Vec<_>>>()?;
        let daemons = site
            .members()
            .map(|member| start_daemon(&site, member).map(Some))
            .collect::<io::Result<Vec<_>>>()?;
        Ok(Self {
            fleet: Fleet::new(site.members().map(|m| site.control(m)).collect()),
            site,
            _platform: platform,
            daemons,
            targets,
        })
    }

    /// Returns a client of the platform.
    pub fn store(&self) -> HttpPlatform {
        HttpPlatform::new(self.site.platform(), self.site.platform())
    }

    /// Waits until every daemon is active and knows all others as active; returns
    /// whether this happened before the timeout.
    pub fn wait_active(&self, timeout: Duration) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < timeout {
            let all = self.fleet.status();
            let ready = |s: &cicadaweird::control::StatusBody| {
                let active = s.members.iter().filter(|m| m.phase == "active").count();
                s.phase == "active" && active == all.len()
            };
            if all.iter().all(|(_, s)| s.as_ref().is_some_and(ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Partitions the network between the entry VMs and targets of a zone and all
    /// others; `None` ends the partition.
    pub fn partition_zone(&self, zone: Option<u16>) {
        for (index, daemon) in self.daemons.iter().enumerate() {
            let Some(daemon) = daemon else {
                continue;
            };
            let own = self.site.zone(index as u8 + 1);
            let blocked = match zone {
                Some(zone) => self.addresses(|z| (z == zone) != (own == zone)),
                None => Vec::new(),
            };
            daemon.block(blocked);
        }
    }

    /// Returns the addresses of entry VMs and targets in the selected zones.
    fn addresses(&self, selected: impl Fn(u16) -> bool) -> Vec<IpAddr> {
        let vms = self.site.members().map(|m| (m, self.site.tunnel(m).ip()));
        let last = self.targets.len() as u8;
        let targets = (1..=last).map(|t| (t, self.site.target(t).ip()));
        vms.chain(targets)
            .filter(|&(number, _)| selected(self.site.zone(number)))
            .map(|(_, ip)| ip)
            .collect()
    }

    /// Returns the number of requests received by a second target.
    pub fn requests_at_two_targets(&self) -> u64 {
        let mut seen = indexmap::IndexSet::new();
        let mut duplicates = 0;
        for target in &self.targets {
            for id in target.app().requests() {
                duplicates += u64::from(!seen.insert(id));
            }
        }
        duplicates
    }

    /// Returns the highest number of open flows of a target of the service `board`,
    /// relative to the mean over its targets with open flows.
    pub fn imbalance(&self) -> f64 {
        let open: Vec<usize> = self
            .targets
            .iter()
            .filter(|t| t.options().service == "board")
            .map(|t| t.app().open())
            .filter(|&open| open > 0)
            .collect();
        let sum: usize = open.iter().sum();
        let max = open.iter().max().copied().unwrap_or(0);
        max as f64 * open.len() as f64 / sum.max(1) as f64
    }
}

/// Starts the daemon of a member.
pub fn start_daemon(site: &Site, member: u8) -> io::Result<Handle> {
    let mut settings = site.settings(member);
    settings.limits.answer_rate = MAX_ANSWER_RATE;
    settings.limits.quiet_stop_secs = 1;
    daemon::spawn(settings)
}

fn service_name(number: u8) -> &'static str {
    let sheet = BOARD_TARGETS + 1..=BOARD_TARGETS + SHEET_TARGETS;
    if sheet.contains(&number) {
        "sheet"
    } else {
        "board"
    }
}

fn start_target(site: &Site, number: u8) -> io::Result<TargetServer> {
    TargetServer::start(TargetOptions {
        service: service_name(number).to_owned(),
        name: format!("t{number}"),
        endpoint: site.target(number),
        entry_vms: site.tunnels(),
        probe: site.load_endpoint(number),
        connections: 2_000,
        slots: 2,
    })
}

fn target_entry(site: &Site, number: u8) -> String {
    format!(
        "name = \"t{number}\"\nendpoint = \"{}\"\nzone = {}\nprobe = \"{}\"\n",
        site.target(number),
        site.zone(number),
        site.load_endpoint(number)
    )
}

/// Returns the first release note, which adds both services.
pub fn first_note(site: &Site) -> NoteFile {
    let mut text = String::from(
        "[[add.service]]\nname = \"board\"\n\
         addresses = [\"tcp://203.0.113.10:443\", \"udp://203.0.113.10:443\"]\n",
    );
    for number in 1..=BOARD_TARGETS {
        text += &format!("[[add.service.target]]\n{}", target_entry(site, number));
    }
    text += "[[add.service]]\nname = \"sheet\"\naddresses = [\"tcp://203.0.113.11:443\"]\n";
    for number in BOARD_TARGETS + 1..=BOARD_TARGETS + SHEET_TARGETS {
        text += &format!("[[add.service.target]]\n{}", target_entry(site, number));
    }
    note::parse(&text).expect("the release note of the demo must parse")
}

/// Returns the second release note, which withdraws a target and adds another.
pub fn second_note(site: &Site) -> NoteFile {
    let number = BOARD_TARGETS + SHEET_TARGETS + 1;
    let text = format!(
        "[[add.target]]\nservice = \"board\"\n{}[withdraw]\ntarget = [\"board/t1\"]\n",
        target_entry(site, number)
    );
    note::parse(&text).expect("the release note of the demo must parse")
}
