//! Faults, checks, the report.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use cicadaweir_standins::{
    steered::{Daemon, ROUTE_PORT, Site, wait_until},
    store::{Availability, StoreFaults},
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Options, Report,
    callers::{Caller, Notice, Stage},
    proxy::{Proxy, Trouble},
    server::{Complaints, Server},
};

/// The time between two faults.
const APART: Duration = Duration::from_millis(400);

/// How long a disturbance counts after its end: what the platform's rules give.
const STABLE: Duration = Duration::from_secs(4);

/// How often the routers ask a daemon whether it is ready.
const PROBES: Duration = Duration::from_millis(500);

/// One running site with everything that is wrong with it.
struct Soak {
    options: Options,
    site: Site,
    proxy: Proxy,
    through: SocketAddr,
    daemons: Vec<Daemon>,
    stopped: Vec<bool>,
    rotation: Vec<(u32, bool)>,
    servers: Vec<Server>,
    callers: HashMap<u16, Caller>,
    disturbed: HashMap<u8, Instant>,
    crashed: HashMap<u8, Instant>,
    versions: HashMap<u32, f64>,
    complaints: Complaints,
    next_port: u16,
    version: u64,
    next_probe: Instant,
    rng: Pcg64Mcg,
    report: Report,
}

/// Plays one run.
///
/// # Panics
///
/// If the site can't be started, or does not come back after the last fault.
pub fn run(options: Options) -> Report {
    let mut soak = Soak::start(options);
    for _ in 0..soak.options.faults {
        soak.fault();
        soak.serve(APART);
    }
    soak.recover();
    soak.finish()
}

impl Soak {
    fn start(options: Options) -> Self {
        let site = Site::start(&options.program, options.net, options.targets);
        let through = site.address(251, 8_169);
        let proxy = Proxy::start(through, site.store.addr()).expect("an address of the run's own");
        let caller = site.address(200, 8_172);
        let complaints = Complaints::default();
        let servers = (1..).zip(&site.targets).map(|(n, socket)| {
            let socket = socket.try_clone().expect("a socket can be shared");
            Server::start(n, socket, caller, Arc::clone(&complaints))
        });
        let servers = servers.collect();
        let daemons: Vec<Daemon> = (1..=options.daemons)
            .map(|n| site.daemon_with_store(n, &[1, 2], through))
            .collect();
        for daemon in &daemons {
            site.wait_ready(daemon);
        }
        let count = daemons.len();
        Self {
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            report: Report {
                seed: options.seed,
                ..Report::default()
            },
            proxy,
            through,
            daemons,
            stopped: vec![false; count],
            rotation: vec![(0, true); count],
            servers,
            callers: HashMap::new(),
            disturbed: HashMap::new(),
            crashed: HashMap::new(),
            versions: HashMap::new(),
            complaints,
            next_port: 1_024,
            version: 1,
            next_probe: Instant::now(),
            site,
            options,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.rng.next_u32() as usize % below
    }

    fn say(&self, what: &str) {
        if self.options.progress {
            println!("seed {}: {what}", self.options.seed);
        }
    }

    fn fault(&mut self) {
        let at = self.draw(self.daemons.len());
        let number = self.daemons[at].number;
        match self.draw(12) {
            0 => self.pause(at),
            1 => self.go_on(),
            2 => {
                self.say(&format!("daemon {number} is killed"));
                self.restart(at, "KILL");
            }
            3 => {
                self.say(&format!("daemon {number} is stopped"));
                self.daemons[at].signal("TERM");
                self.serve(Duration::from_millis(2_500));
                self.restart(at, "KILL");
            }
            4 => {
                self.say(&format!("daemon {number} is told to reload"));
                self.daemons[at].signal("HUP");
            }
            5 | 6 => {
                let trouble = Trouble::ALL[self.draw(Trouble::ALL.len())];
                self.say(&format!("the way to the store: {trouble:?}"));
                self.proxy.set(trouble);
            }
            7 => {
                let availability = [
                    Availability::Serving,
                    Availability::Busy,
                    Availability::Silent,
                ][self.draw(3)];
                let stale_by = self.draw(4) as u64;
                self.say(&format!(
                    "the store: {availability:?}, stale reads {stale_by} behind"
                ));
                self.site.store.set_faults(StoreFaults {
                    availability,
                    stale_by,
                    ..StoreFaults::default()
                });
            }
            8 => {
                self.say("the store forgets its history");
                self.site.store.compact();
            }
            9 => self.configure(),
            10 => self.crash_target(),
            _ => self.revive_targets(),
        }
    }

    fn pause(&mut self, at: usize) {
        if !self.stopped[at] {
            self.say(&format!("daemon {} stands still", self.daemons[at].number));
            self.daemons[at].signal("STOP");
            self.stopped[at] = true;
        }
    }

    fn go_on(&mut self) {
        for at in 0..self.daemons.len() {
            if std::mem::take(&mut self.stopped[at]) {
                self.daemons[at].signal("CONT");
                self.disturbed
                    .insert(self.daemons[at].number, Instant::now());
            }
        }
    }

    fn restart(&mut self, at: usize, signal: &str) {
        let number = self.daemons[at].number;
        self.daemons[at].signal(signal);
        let _ = self.daemons[at].child.wait();
        self.stopped[at] = false;
        self.rotation[at] = (0, false);
        self.disturbed.insert(number, Instant::now());
        self.daemons[at] = self.site.daemon_with_store(number, &[1, 2], self.through);
    }

    fn configure(&mut self) {
        self.version += 1 + self.draw(5) as u64;
        self.say(&format!("configuration {}", self.version));
        let extra = 10_000 + self.version as u16;
        self.site.put_config(self.version, &[ROUTE_PORT, extra]);
    }

    fn crash_target(&mut self) {
        if self.crashed.len() + 2 < self.servers.len() {
            let n = 1 + self.draw(self.servers.len()) as u8;
            self.say(&format!("target {n} dies"));
            self.servers[usize::from(n) - 1].crash();
            self.crashed.insert(n, Instant::now());
        }
    }

    fn revive_targets(&mut self) {
        for (n, _) in std::mem::take(&mut self.crashed) {
            self.say(&format!("target {n} is back"));
            self.servers[usize::from(n) - 1].restart();
            self.disturbed.insert(100 + n, Instant::now());
        }
    }

    /// Lets callers and routers work for a while.
    fn serve(&mut self, span: Duration) {
        let end = Instant::now() + span;
        let mut buf = [0; 2_048];
        while Instant::now() < end {
            self.probe();
            while self.callers.len() < usize::from(self.options.flows) {
                self.next_port = self.next_port.checked_add(1).unwrap_or(1_024);
                let caller = Caller::new(self.next_port, Instant::now());
                self.callers.insert(self.next_port, caller);
            }
            let ports: Vec<u16> = self.callers.keys().copied().collect();
            for port in ports {
                self.step(port, |caller, net, now| caller.look(net, now));
            }
            while let Ok(count) = self.site.caller.recv(&mut buf) {
                if count >= 32 {
                    let port = u16::from_be_bytes([buf[0], buf[1]]);
                    let answer = &buf[..count];
                    self.step(port, |caller, net, now| caller.take(net, answer, now));
                }
            }
            self.callers.retain(|_, caller| caller.stage != Stage::Over);
        }
    }

    fn step(
        &mut self,
        port: u16,
        act: impl FnOnce(&mut Caller, u8, Instant) -> (Option<Vec<u8>>, Option<Notice>),
    ) {
        let (net, at) = (self.options.net, self.routed(port));
        let Some(caller) = self.callers.get_mut(&port) else {
            return;
        };
        let by = caller.daemon;
        let (packet, notice) = act(caller, net, Instant::now());
        if let Some(packet) = packet {
            caller.daemon = self.daemons[at].number;
            self.site.send(&self.daemons[at], &packet);
        }
        if let Some(notice) = notice {
            self.notice(port, by, notice);
        }
    }

    /// Returns the daemon to which the routers send a flow.
    fn routed(&self, port: u16) -> usize {
        let ready: Vec<usize> = (0..self.daemons.len())
            .filter(|&at| self.rotation[at].1)
            .collect();
        match ready.len() {
            0 => usize::from(port) % self.daemons.len(),
            count => ready[usize::from(port) % count],
        }
    }

    fn probe(&mut self) {
        if Instant::now() < self.next_probe {
            return;
        }
        self.next_probe = Instant::now() + PROBES;
        for at in 0..self.daemons.len() {
            let ready =
                !self.stopped[at] && self.site.readiness_status(&self.daemons[at]) == Some(200);
            let misses = if ready { 0 } else { self.rotation[at].0 + 1 };
            self.rotation[at] = (misses, misses < 2 && (ready || self.rotation[at].1));
            if ready {
                self.check_version(at);
            }
        }
    }

    fn check_version(&mut self, at: usize) {
        let daemon = &self.daemons[at];
        let Some(version) = self.site.metric(daemon, "cicadaweir_config_version") else {
            return;
        };
        let known = self.versions.entry(daemon.child.id()).or_insert(version);
        if version < *known {
            let number = daemon.number;
            let what = format!("daemon {number} went from configuration {known} to {version}");
            self.report.broken.push(what);
        }
        *known = known.max(version);
    }

    fn notice(&mut self, port: u16, daemon: u8, notice: Notice) {
        match notice {
            Notice::Opened => self.report.opened += 1,
            Notice::Answered => self.report.answered += 1,
            Notice::GivenUp | Notice::ResetByTarget => self.report.given_up += 1,
            Notice::Moved(from, to) => {
                let what = format!("the flow of port {port} moved from target {from} to {to}");
                self.report.broken.push(what);
            }
            Notice::ResetByDaemon(target) => {
                self.report.resets += 1;
                let recent = |number: &u8| {
                    let at = self.disturbed.get(number);
                    at.is_some_and(|at| at.elapsed() < STABLE)
                };
                let dead = self.crashed.contains_key(&target) || recent(&(100 + target));
                let paused = (0..self.daemons.len())
                    .any(|at| self.stopped[at] && self.daemons[at].number == daemon);
                if !dead && !recent(&daemon) && !paused {
                    let what = format!(
                        "daemon {daemon} reset the flow of port {port}, open at target {target}"
                    );
                    self.report.broken.push(what);
                }
            }
        }
    }

    /// Ends all faults and waits until the site is itself again.
    fn recover(&mut self) {
        self.say("all faults end");
        self.go_on();
        self.revive_targets();
        self.proxy.set(Trouble::None);
        self.site.store.set_faults(StoreFaults::default());
        self.configure();
        let version = self.version as f64;
        for at in 0..self.daemons.len() {
            self.site.wait_ready(&self.daemons[at]);
            self.site.wait_version(&self.daemons[at], version);
        }
        let answered = self.report.answered;
        let mut tries = 0;
        wait_until("requests are answered again", || {
            tries += 1;
            self.serve(Duration::from_millis(200));
            self.report.answered > answered
        });
    }

    fn finish(mut self) -> Report {
        let mut complaints = self
            .complaints
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.report.broken.append(&mut complaints);
        drop(complaints);
        self.report
    }
}
