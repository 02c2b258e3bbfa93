//! Changes of the configuration under faults: when is each in force?
//!
//! Three availability zones have three daemons each; the first of each zone is a seed. The
//! links from the daemons to the store and to the seeds can be cut and go silent. The
//! operator adds and drops a route with each change, and openings on the dropped routes go
//! straight to each daemon.

use std::{
    collections::VecDeque,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cicadaweir_standins::{
    steered::{Daemon, HeaderFields, ROUTE_PORT, SYN, Site, packet_with},
    store::{Availability, StoreFaults},
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Options, Report, link::Link};

/// The bound `configApplyMs` of the platform's rules.
const APPLY_BOUND: Duration = Duration::from_millis(3_000);

/// The bound `stableMs`: how long a daemon has been undisturbed when the rules hold for it.
const STABLE_TIME: Duration = Duration::from_millis(4_000);

const ZONES: [&str; 3] = ["a", "b", "c"];
const DAEMONS_PER_ZONE: u8 = 3;
const SEEDS: [u8; 3] = [1, 4, 7];

/// The time between two series of openings on the dropped routes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long openings are sent on a route after it was dropped.
const PROBED_TIME: Duration = Duration::from_secs(12);

/// The number of dropped routes on which openings are sent at a time.
const PROBED_ROUTES: usize = 2;

/// The longest time between two faults, and between two changes of the configuration, in
/// milliseconds.
const MAX_FAULT_INTERVAL_MS: u64 = 8_000;
const MAX_CHANGE_INTERVAL_MS: u64 = 500;

/// The number of added routes that the configuration has at a time.
const ADDED_ROUTES: usize = 4;

/// The first port of the routes that see no traffic, and of those that are added.
const IDLE_PORT: u16 = 20_000;
const ADDED_PORT: u16 = 40_000;

/// What ends at a set time.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Repair {
    Resume(usize),
    Start(usize),
    Heal(Vec<usize>),
    HealZone(usize),
    Serve,
}

struct Dropped {
    port: u16,
    confirmed: Instant,
}

/// An opening on a dropped route.
#[derive(Clone, Copy)]
struct Probe {
    daemon: usize,
    port: u16,
    /// The time from the confirmation of the drop.
    late: Duration,
}

struct ConfigSoak {
    options: Options,
    site: Site,
    daemons: Vec<Option<Daemon>>,
    frozen: Vec<bool>,
    store_links: Vec<Arc<Link>>,
    /// By daemon, then by seed.
    seed_links: Vec<Vec<Option<Arc<Link>>>>,
    repairs: Vec<(Instant, Repair)>,
    /// When each daemon was last disturbed; in the future while a disturbance lasts.
    disturbed: Vec<Instant>,
    store_disturbed: Instant,
    ports: Vec<u16>,
    dropped: VecDeque<Dropped>,
    probes: Vec<Option<Probe>>,
    next_probe_port: u16,
    version: u64,
    next_change: Instant,
    is_down: bool,
    start: Instant,
    rng: Pcg64Mcg,
    report: Report,
}

/// Starts a site, changes its configuration under the faults of a run and returns the
/// report.
///
/// # Panics
///
/// If the site cannot be started.
pub fn run(options: Options) -> Report {
    let mut soak = ConfigSoak::start(options);
    for _ in 0..soak.options.faults {
        let pause = soak.draw(MAX_FAULT_INTERVAL_MS);
        soak.pass(pause);
        soak.inject_fault();
    }
    soak.pass(9_000);
    soak.report
}

impl ConfigSoak {
    fn start(options: Options) -> Self {
        let site = Site::start(&options.program, options.net, options.targets);
        for target in &site.targets {
            target
                .set_nonblocking(true)
                .expect("making a target's socket non-blocking");
        }
        let count = ZONES.len() * usize::from(DAEMONS_PER_ZONE);
        let mut store_links = Vec::new();
        let mut seed_links = Vec::new();
        for at in 0..count as u8 {
            let listen = site.address(230 + at, 8_169);
            store_links.push(Link::start(listen, site.store.addr()).expect("a free address"));
            let links = SEEDS.map(|seed| {
                let listen = site.address(230 + at, 9_000 + u16::from(seed));
                let upstream = site.address(seed, 8_166);
                (seed != at + 1).then(|| Link::start(listen, upstream).expect("a free address"))
            });
            seed_links.push(links.to_vec());
        }
        let now = Instant::now();
        let idle = if options.seed % 2 == 0 { 1_500 } else { 100 };
        let mut ports = vec![ROUTE_PORT];
        ports.extend(IDLE_PORT..IDLE_PORT + idle);
        let mut soak = Self {
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            report: Report {
                seed: options.seed,
                ..Report::default()
            },
            options,
            site,
            daemons: Vec::new(),
            frozen: vec![false; count],
            store_links,
            seed_links,
            repairs: Vec::new(),
            disturbed: vec![now; count],
            store_disturbed: now,
            ports,
            dropped: VecDeque::new(),
            probes: vec![None; usize::from(u16::MAX) + 1],
            next_probe_port: 1_024,
            version: 1,
            next_change: now,
            is_down: false,
            start: now,
        };
        for _ in 0..ADDED_ROUTES {
            soak.change_config();
        }
        for at in 0..count {
            let daemon = soak.start_daemon(at);
            soak.daemons.push(Some(daemon));
        }
        for daemon in soak.daemons.iter().flatten() {
            soak.site.wait_ready(daemon);
        }
        soak.disturbed = vec![Instant::now(); count];
        soak.pass(4_500);
        soak
    }

    fn start_daemon(&self, at: usize) -> Daemon {
        let number = at as u8 + 1;
        let host = 230 + at as u8;
        let seeds = SEEDS.map(|seed| match seed == number {
            true => self.site.address(seed, 8_166),
            false => self.site.address(host, 9_000 + u16::from(seed)),
        });
        let zone = ZONES[at / usize::from(DAEMONS_PER_ZONE)];
        let store = self.site.address(host, 8_169);
        self.site.daemon_in_zone(number, zone, &seeds, store)
    }

    fn draw(&mut self, bound: u64) -> u64 {
        u64::from(self.rng.next_u32()) % bound
    }

    fn print_progress(&self, message: &str) {
        if self.options.progress {
            let (seed, at) = (self.options.seed, self.start.elapsed().as_secs_f32());
            let clock = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0.0, |time| time.as_secs_f64() % 3_600.0);
            println!("seed {seed} {at:8.3} (clock {clock:.3}): {message}");
        }
    }

    /// Lets time pass, with repairs that are due and openings on dropped routes.
    fn pass(&mut self, millis: u64) {
        let end = Instant::now() + Duration::from_millis(millis);
        let mut next_probe = Instant::now();
        loop {
            self.repair();
            if Instant::now() >= self.next_change {
                self.change_config();
                let interval = self.draw(MAX_CHANGE_INTERVAL_MS);
                self.next_change = Instant::now() + Duration::from_millis(interval);
            }
            if Instant::now() >= next_probe {
                next_probe = Instant::now() + PROBE_INTERVAL;
                self.send_probes();
            }
            self.receive_probes();
            if Instant::now() >= end {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn repair(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.repairs)
            .into_iter()
            .partition::<Vec<_>, _>(|repair| repair.0 <= now);
        self.repairs = later;
        for (_, repair) in due {
            self.print_progress(&format!("{repair:?}"));
            match repair {
                Repair::Resume(at) => {
                    self.frozen[at] = false;
                    if let Some(daemon) = &self.daemons[at] {
                        daemon.signal("CONT");
                    }
                    self.disturb(at, Duration::ZERO);
                }
                Repair::Start(at) => {
                    self.daemons[at] = Some(self.start_daemon(at));
                    self.disturb(at, Duration::ZERO);
                }
                Repair::Heal(cut) => {
                    for at in cut {
                        self.cut_daemon(at, false);
                        self.disturb(at, Duration::ZERO);
                    }
                }
                Repair::HealZone(zone) => self.cut_zone(zone, false),
                Repair::Serve => {
                    self.is_down = false;
                    self.site.store.set_faults(StoreFaults::default());
                    self.store_disturbed = Instant::now();
                }
            }
        }
    }

    fn repair_in(&mut self, millis: u64, repair: Repair) {
        let at = Instant::now() + Duration::from_millis(millis);
        self.repairs.push((at, repair));
    }

    /// Records a disturbance of a daemon that lasts for `span` from now.
    fn disturb(&mut self, at: usize, span: Duration) {
        self.disturbed[at] = self.disturbed[at].max(Instant::now() + span);
    }

    /// Returns whether the rules hold for a daemon.
    fn is_in_touch(&self, at: usize) -> bool {
        let is_over = |since: Instant| {
            Instant::now()
                .checked_duration_since(since)
                .is_some_and(|span| span > STABLE_TIME)
        };
        self.daemons[at].is_some()
            && !self.frozen[at]
            && !self.is_down
            && is_over(self.disturbed[at])
            && is_over(self.store_disturbed)
    }

    fn change_config(&mut self) {
        if self.is_down {
            return;
        }
        self.version += 1 + self.draw(4);
        let added = ADDED_PORT + (self.version % 20_000) as u16;
        let is_added = |port: &u16| *port >= ADDED_PORT;
        let count = self.ports.iter().filter(|port| is_added(port)).count();
        let first = self.ports.iter().position(is_added);
        let dropped = first.filter(|_| count >= ADDED_ROUTES);
        let dropped = dropped.map(|at| self.ports.remove(at));
        self.ports.push(added);
        self.site.put_config(self.version, &self.ports);
        let confirmed = Instant::now();
        if let Some(port) = dropped {
            self.print_progress(&format!(
                "version {} drops the route of port {port}",
                self.version
            ));
            self.dropped.push_back(Dropped { port, confirmed });
        }
    }

    /// Sends openings on a few of the routes that must no longer be in force to each daemon
    /// for which the rules hold.
    fn send_probes(&mut self) {
        self.dropped
            .retain(|route| route.confirmed.elapsed() < PROBED_TIME);
        let due = self.dropped.iter();
        let due = due.filter(|route| route.confirmed.elapsed() > APPLY_BOUND);
        // The latest ones are the first to show that a daemon is late.
        let due: Vec<(u16, Instant)> = due.map(|route| (route.port, route.confirmed)).collect();
        let due = &due[due.len().saturating_sub(PROBED_ROUTES)..];
        for at in 0..self.daemons.len() {
            if !self.is_in_touch(at) {
                continue;
            }
            for &(port, confirmed) in due {
                self.next_probe_port = self.next_probe_port.checked_add(1).unwrap_or(1_024);
                let header = HeaderFields {
                    flags: SYN,
                    sequence: self.rng.next_u32(),
                    ..HeaderFields::default()
                };
                let packet = packet_with(self.options.net, self.next_probe_port, port, header, &[]);
                self.probes[usize::from(self.next_probe_port)] = Some(Probe {
                    daemon: at,
                    port,
                    late: confirmed.elapsed(),
                });
                if let Some(daemon) = &self.daemons[at] {
                    self.site.send(daemon, &packet);
                }
                self.report.opened += 1;
            }
        }
    }

    /// Records the openings that reach a target.
    fn receive_probes(&mut self) {
        let mut buf = [0; 2_048];
        for target in 0..self.site.targets.len() {
            while let Ok(count) = self.site.targets[target].recv(&mut buf) {
                if count < 40 {
                    continue;
                }
                let caller = u16::from_be_bytes([buf[18], buf[19]]);
                let Some(probe) = self.probes[usize::from(caller)].take() else {
                    continue;
                };
                let violation = format!(
                    "daemon {} placed an opening on the route of port {}, {} ms after it was dropped",
                    probe.daemon + 1,
                    probe.port,
                    probe.late.as_millis()
                );
                self.print_progress(&violation);
                self.report.violations.push(violation);
            }
        }
    }

    fn cut_daemon(&mut self, at: usize, is_cut: bool) {
        self.store_links[at].set_cut(is_cut);
        for link in self.seed_links[at].iter().flatten() {
            link.set_cut(is_cut);
        }
        if let Some(seed) = SEEDS.iter().position(|seed| usize::from(*seed) == at + 1) {
            for links in &self.seed_links {
                if let Some(link) = &links[seed] {
                    link.set_cut(is_cut);
                }
            }
        }
    }

    /// Cuts a zone from the others and from the store, or heals the cut.
    fn cut_zone(&mut self, zone: usize, is_cut: bool) {
        let zone_of = |at: usize| at / usize::from(DAEMONS_PER_ZONE);
        for at in 0..self.daemons.len() {
            if zone_of(at) == zone {
                self.store_links[at].set_cut(is_cut);
                self.disturb(at, Duration::ZERO);
            }
            for (seed, link) in SEEDS.iter().zip(&self.seed_links[at]) {
                let seed_zone = zone_of(usize::from(*seed) - 1);
                if (seed_zone == zone) != (zone_of(at) == zone)
                    && let Some(link) = link
                {
                    link.set_cut(is_cut);
                }
            }
        }
    }

    fn kill(&mut self, at: usize) {
        if self.daemons[at].take().is_some() {
            self.frozen[at] = false;
            self.disturb(at, Duration::from_secs(2));
            self.repair_in(2_000, Repair::Start(at));
        }
    }

    fn inject_fault(&mut self) {
        let count = self.daemons.len() as u64;
        let at = self.draw(count) as usize;
        let number = at + 1;
        let fault = self.draw(14);
        match self.options.only.unwrap_or(fault) {
            0 if self.daemons[at].is_some() && !self.frozen[at] => {
                self.print_progress(&format!("daemon {number} is frozen"));
                if let Some(daemon) = &self.daemons[at] {
                    daemon.signal("STOP");
                }
                self.frozen[at] = true;
                self.disturb(at, Duration::from_secs(4));
                self.repair_in(4_000, Repair::Resume(at));
            }
            1 => {
                self.print_progress(&format!("daemon {number} is killed"));
                self.kill(at);
            }
            2 => {
                let killed: Vec<usize> = (0..count as usize)
                    .filter(|_| self.draw(100) < 55)
                    .collect();
                self.print_progress(&format!("killed: {killed:?} (by index)"));
                for at in killed {
                    self.kill(at);
                }
            }
            3 => {
                self.print_progress(&format!("daemon {number} is cut from the store"));
                self.store_links[at].set_cut(true);
                self.disturb(at, Duration::from_millis(5_500));
                self.repair_in(5_500, Repair::Heal(vec![at]));
            }
            4 => {
                let cut: Vec<usize> = (0..count as usize)
                    .filter(|_| self.draw(100) < 25)
                    .collect();
                self.print_progress(&format!("cut off: {cut:?} (by index)"));
                for &at in &cut {
                    self.cut_daemon(at, true);
                    self.disturb(at, Duration::from_millis(5_500));
                }
                self.repair_in(5_500, Repair::Heal(cut));
            }
            5 => {
                let zone = at / usize::from(DAEMONS_PER_ZONE);
                self.print_progress(&format!("zone {zone} is cut off"));
                self.cut_zone(zone, true);
                for at in zone * 3..zone * 3 + 3 {
                    self.disturb(at, Duration::from_millis(5_500));
                }
                self.repair_in(5_500, Repair::HealZone(zone));
            }
            6 if !self.is_down => {
                let availability = [Availability::Busy, Availability::Silent][at % 2];
                self.print_progress(&format!("the store is down: {availability:?}"));
                self.is_down = true;
                self.site.store.set_faults(StoreFaults {
                    availability,
                    ..StoreFaults::default()
                });
                self.repair_in(3_000, Repair::Serve);
            }
            7 | 8 => {
                let seed = usize::from(SEEDS[at % SEEDS.len()]) - 1;
                let at = if at % 2 == 0 { seed } else { at };
                self.print_progress(&format!("connections of daemon {} go silent", at + 1));
                self.store_links[at].silence_open_connections();
                for link in self.seed_links[at].iter().flatten() {
                    link.silence_open_connections();
                }
                if let Some(seed) = SEEDS.iter().position(|seed| usize::from(*seed) == at + 1) {
                    for links in &self.seed_links {
                        if let Some(link) = &links[seed] {
                            link.silence_open_connections();
                        }
                    }
                }
                // The rules count this as a disturbance of all machines.
                for at in 0..self.daemons.len() {
                    self.disturb(at, Duration::ZERO);
                }
            }
            9 => {
                self.print_progress("the store's history is compacted");
                self.site.store.compact();
            }
            10 | 11 => {
                let seeds = SEEDS.map(|seed| usize::from(seed) - 1).to_vec();
                self.print_progress("all seeds are cut off");
                for &at in &seeds {
                    self.cut_daemon(at, true);
                    self.disturb(at, Duration::from_secs(10));
                }
                self.repair_in(10_000, Repair::Heal(seeds));
            }
            12 => {
                let seeds = SEEDS.map(|seed| usize::from(seed) - 1).to_vec();
                self.print_progress("all seeds are cut from the store");
                for &at in &seeds {
                    self.store_links[at].set_cut(true);
                    self.disturb(at, Duration::from_millis(5_500));
                }
                self.repair_in(5_500, Repair::Heal(seeds));
            }
            _ => {
                self.print_progress("all seeds are killed");
                for seed in SEEDS {
                    self.kill(usize::from(seed) - 1);
                }
            }
        }
    }
}
