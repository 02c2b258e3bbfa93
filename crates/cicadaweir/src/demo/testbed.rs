//! The site of the demo: platform, daemons, targets.

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

/// Targets of the service for boards and bookings.
pub const BOARD_TARGETS: u8 = 14;

/// Targets of the service for schedule sheets.
pub const SHEET_TARGETS: u8 = 4;

/// The rate of answers at each entry VM, in bytes a second.
const ANSWER_RATE: u64 = 12_000_000;

/// Everything of the demo but the callers.
pub struct Place {
    pub site: Site,
    /// Kept running until the demo ends.
    _platform: PlatformServer,
    pub daemons: Vec<Option<Handle>>,
    pub targets: Vec<TargetServer>,
    pub fleet: Fleet,
}

impl Place {
    pub fn start(site: Site) -> io::Result<Self> {
        let platform = PlatformServer::start(site.platform())?;
        platform.set_members(site.list());
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

    pub fn store(&self) -> HttpPlatform {
        HttpPlatform::new(self.site.platform(), self.site.platform())
    }

    /// Waits until every daemon owns its share.
    pub fn wait_active(&self, limit: Duration) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < limit {
            let all = self.fleet.status();
            let ready = |s: &cicadaweird::control::StatusBody| {
                let alive = s.members.iter().filter(|m| m.phase == "active").count();
                s.phase == "active" && alive == all.len()
            };
            if all.iter().all(|(_, s)| s.as_ref().is_some_and(ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Cuts a zone's entry VMs and targets off from all others, or mends all
    /// cuts.
    pub fn cut(&self, zone: Option<u16>) {
        for (at, daemon) in self.daemons.iter().enumerate() {
            let Some(daemon) = daemon else {
                continue;
            };
            let own = self.site.zone(at as u8 + 1);
            let blocked = match zone {
                Some(zone) => self.addresses(|z| (z == zone) != (own == zone)),
                None => Vec::new(),
            };
            daemon.block(blocked);
        }
    }

    fn addresses(&self, wanted: impl Fn(u16) -> bool) -> Vec<IpAddr> {
        let vms = self.site.members().map(|m| (m, self.site.tunnel(m).ip()));
        let last = self.targets.len() as u8;
        let targets = (1..=last).map(|t| (t, self.site.target(t).ip()));
        vms.chain(targets)
            .filter(|&(number, _)| wanted(self.site.zone(number)))
            .map(|(_, ip)| ip)
            .collect()
    }

    /// Counts requests that came to more than one target.
    pub fn requests_at_two_targets(&self) -> u64 {
        let mut seen = indexmap::IndexSet::new();
        let mut twice = 0;
        for target in &self.targets {
            for identity in target.app().requests() {
                twice += u64::from(!seen.insert(identity));
            }
        }
        twice
    }

    pub fn imbalance(&self) -> f64 {
        let open: Vec<usize> = self
            .targets
            .iter()
            .filter(|t| t.options().service == "board")
            .map(|t| t.app().open())
            .filter(|&open| open > 0)
            .collect();
        let sum: usize = open.iter().sum();
        let most = open.iter().max().copied().unwrap_or(0);
        most as f64 * open.len() as f64 / sum.max(1) as f64
    }
}

/// Starts one daemon.
pub fn start_daemon(site: &Site, member: u8) -> io::Result<Handle> {
    let mut settings = site.settings(member);
    settings.limits.answer_rate = ANSWER_RATE;
    settings.limits.quiet_stop_secs = 1;
    daemon::spawn(settings)
}

fn service_of(number: u8) -> &'static str {
    let sheet = BOARD_TARGETS + 1..=BOARD_TARGETS + SHEET_TARGETS;
    if sheet.contains(&number) {
        "sheet"
    } else {
        "board"
    }
}

fn start_target(site: &Site, number: u8) -> io::Result<TargetServer> {
    TargetServer::start(TargetOptions {
        service: service_of(number).to_owned(),
        name: format!("t{number}"),
        endpoint: site.target(number),
        entry_vms: site.tunnels(),
        probe: site.load(number),
        connections: 2_000,
        slots: 2,
    })
}

fn target_entry(site: &Site, number: u8) -> String {
    format!(
        "name = \"t{number}\"\nendpoint = \"{}\"\nzone = {}\nprobe = \"{}\"\n",
        site.target(number),
        site.zone(number),
        site.load(number)
    )
}

/// The first release note: both services.
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
    note::parse(&text).expect("the demo's note parses")
}

/// The second release note: withdraws a target and adds another.
pub fn second_note(site: &Site) -> NoteFile {
    let number = BOARD_TARGETS + SHEET_TARGETS + 1;
    let text = format!(
        "[[add.target]]\nservice = \"board\"\n{}[withdraw]\ntarget = [\"board/t1\"]\n",
        target_entry(site, number)
    );
    note::parse(&text).expect("the demo's note parses")
}
