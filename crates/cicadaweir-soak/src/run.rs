//! Fault injection, routing of flows to daemons, checks and the report.

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
    callers::{Caller, FlowEvent, Stage},
    proxy::{Proxy, ProxyFault},
    target::{Target, Violations},
};

/// The time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(400);

/// The time after the end of a disturbance during which the platform's rules
/// permit resets.
const RECOVERY_PERIOD: Duration = Duration::from_secs(4);

/// The levels of nesting of an odd entry.
const ODD_NESTING: usize = 100_000;

/// The size of an odd entry in bytes.
const ODD_BYTES: usize = 500_000;

/// The number of ports that callers use in turn, so that each is soon in use again.
const PORTS: u16 = 96;

/// The first of these ports.
const FIRST_PORT: u16 = 1_024;

/// Of this many flows one pauses between its requests.
const PAUSING_EVERY: u32 = 3;

/// The interval at which the routers probe the readiness of daemons.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A running site with its active faults and the results so far. Vectors of
/// daemons and their states share indices.
struct Soak {
    options: Options,
    site: Site,
    proxy: Proxy,
    proxy_address: SocketAddr,
    daemons: Vec<Daemon>,
    /// Whether each daemon is paused by `SIGSTOP`.
    paused: Vec<bool>,
    /// For each daemon, the number of consecutive failed probes and whether the
    /// routers send packets to it.
    routing: Vec<(u32, bool)>,
    targets: Vec<Target>,
    callers: HashMap<u16, Caller>,
    /// When the last disturbance ended, by daemon number or by target number
    /// plus 100.
    disturbance_ends: HashMap<u8, Instant>,
    /// When each crashed target crashed, by target number.
    crashed: HashMap<u8, Instant>,
    /// The highest configuration version of each daemon, by process id.
    versions: HashMap<u32, f64>,
    target_violations: Violations,
    next_port: u16,
    /// The number of flows so far.
    flow_count: u32,
    version: u64,
    next_probe: Instant,
    rng: Pcg64Mcg,
    report: Report,
}

/// Starts a site, injects the faults of a run and returns the report.
///
/// # Panics
///
/// If the site cannot be started or does not recover after the last fault.
pub fn run(options: Options) -> Report {
    let mut soak = Soak::start(options);
    for _ in 0..soak.options.faults {
        soak.inject_fault();
        soak.run_callers(FAULT_INTERVAL);
    }
    soak.recover();
    soak.finish()
}

impl Soak {
    fn start(options: Options) -> Self {
        let site = Site::start(&options.program, options.net, options.targets);
        let proxy_address = site.address(251, 8_169);
        let proxy = Proxy::start(proxy_address, site.store.addr())
            .expect("starting the proxy on an address of the run's network");
        let caller = site.address(200, 8_172);
        let target_violations = Violations::default();
        let targets = (1..).zip(&site.targets).map(|(n, socket)| {
            let socket = socket.try_clone().expect("cloning the socket of a target");
            Target::start(n, socket, caller, Arc::clone(&target_violations))
        });
        let targets = targets.collect();
        let daemons: Vec<Daemon> = (1..=options.daemons)
            .map(|n| site.daemon_with_store(n, &[1, 2], proxy_address))
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
            proxy_address,
            daemons,
            paused: vec![false; count],
            routing: vec![(0, true); count],
            targets,
            callers: HashMap::new(),
            disturbance_ends: HashMap::new(),
            crashed: HashMap::new(),
            versions: HashMap::new(),
            target_violations,
            next_port: FIRST_PORT,
            flow_count: 0,
            version: 1,
            next_probe: Instant::now(),
            site,
            options,
        }
    }

    /// Returns a random number below `bound`.
    fn draw(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    fn print_progress(&self, message: &str) {
        if self.options.progress {
            println!("seed {}: {message}", self.options.seed);
        }
    }

    fn inject_fault(&mut self) {
        let index = self.draw(self.daemons.len());
        let number = self.daemons[index].number;
        match self.draw(12) {
            0 => self.pause_daemon(index),
            1 => self.resume_daemons(),
            2 => {
                self.print_progress(&format!("daemon {number} is killed"));
                self.restart_daemon(index, "KILL");
            }
            3 => {
                self.print_progress(&format!("daemon {number} is stopped as planned"));
                self.daemons[index].signal("TERM");
                self.run_callers(Duration::from_millis(2_500));
                self.restart_daemon(index, "KILL");
            }
            4 => {
                self.print_progress(&format!("daemon {number} reloads its settings"));
                self.daemons[index].signal("HUP");
            }
            5 | 6 => {
                let fault = ProxyFault::ALL[self.draw(ProxyFault::ALL.len())];
                self.print_progress(&format!("store connections: {fault:?}"));
                self.proxy.set_fault(fault);
            }
            7 => {
                let availability = [
                    Availability::Serving,
                    Availability::Busy,
                    Availability::Silent,
                ][self.draw(3)];
                let stale_by = self.draw(4) as u64;
                self.print_progress(&format!(
                    "store: {availability:?}, stale reads lag by {stale_by} revisions"
                ));
                self.site.store.set_faults(StoreFaults {
                    availability,
                    stale_by,
                    ..StoreFaults::default()
                });
            }
            8 => {
                self.print_progress("the store history is compacted");
                self.site.store.compact();
            }
            9 => self.write_config(),
            10 => self.crash_target(),
            _ => self.restart_targets(),
        }
    }

    fn pause_daemon(&mut self, index: usize) {
        if !self.paused[index] {
            self.print_progress(&format!("daemon {} is paused", self.daemons[index].number));
            self.daemons[index].signal("STOP");
            self.paused[index] = true;
        }
    }

    fn resume_daemons(&mut self) {
        for index in 0..self.daemons.len() {
            if std::mem::take(&mut self.paused[index]) {
                self.daemons[index].signal("CONT");
                self.disturbance_ends
                    .insert(self.daemons[index].number, Instant::now());
            }
        }
    }

    fn restart_daemon(&mut self, index: usize, signal: &str) {
        let number = self.daemons[index].number;
        self.daemons[index].signal(signal);
        let _ = self.daemons[index].child.wait();
        self.paused[index] = false;
        self.routing[index] = (0, false);
        self.disturbance_ends.insert(number, Instant::now());
        self.daemons[index] = self
            .site
            .daemon_with_store(number, &[1, 2], self.proxy_address);
    }

    fn write_config(&mut self) {
        self.version += 1 + self.draw(5) as u64;
        self.print_progress(&format!(
            "configuration version {} is written",
            self.version
        ));
        let extra = 10_000 + self.version as u16;
        self.site.put_config(self.version, &[ROUTE_PORT, extra]);
        self.write_odd_entry();
    }

    /// Leaves an entry that no target wrote. The kind follows from the version, so that
    /// the faults of a seed stay the same.
    fn write_odd_entry(&self) {
        let entry = |slots: &str, warmup: &str, port: u32| {
            format!(
                r#"{{"service":"classes","address":"127.0.0.1:{port}","zone":"a","version":"v1",
                "slots":{slots},"state":"ready","warmupLeftMs":{warmup},"seq":1}}"#
            )
        };
        let nested = "[".repeat(ODD_NESTING);
        let odd = [
            entry("4294967295", "0", 8_602),
            entry("2", "1e300", 8_602),
            entry("2", "0", 99_999),
            entry("2", &nested, 8_602),
            "\u{0}".repeat(ODD_BYTES),
        ];
        let value = &odd[self.version as usize % odd.len()];
        self.print_progress(&format!("an odd entry is left: {value:.60}"));
        let key = format!("servers/i-0dd{:x}", self.version % 4);
        self.site.store.put(&key, value.as_bytes());
    }

    fn crash_target(&mut self) {
        if self.crashed.len() + 2 < self.targets.len() {
            let n = 1 + self.draw(self.targets.len()) as u8;
            self.print_progress(&format!("target {n} crashes"));
            self.targets[usize::from(n) - 1].crash();
            self.crashed.insert(n, Instant::now());
        }
    }

    fn restart_targets(&mut self) {
        for (n, _) in std::mem::take(&mut self.crashed) {
            self.print_progress(&format!("target {n} restarts"));
            self.targets[usize::from(n) - 1].restart();
            self.disturbance_ends.insert(100 + n, Instant::now());
        }
    }

    /// Starts a flow from the next port that is free.
    fn start_flow(&mut self) {
        while self.callers.contains_key(&self.next_port) {
            self.next_port = FIRST_PORT + (self.next_port - FIRST_PORT + 1) % PORTS;
        }
        self.flow_count += 1;
        // Spreads the initial sequence numbers without a draw, so that the faults of a seed
        // stay the same.
        let sequence = self.flow_count.wrapping_mul(0x9e37_79b9);
        let pauses = self.flow_count % PAUSING_EVERY == 0;
        let caller = Caller::new(self.next_port, sequence, pauses, Instant::now());
        self.callers.insert(self.next_port, caller);
        self.next_port = FIRST_PORT + (self.next_port - FIRST_PORT + 1) % PORTS;
    }

    /// Runs callers and readiness probes for the given duration.
    fn run_callers(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        let mut buf = [0; 2_048];
        while Instant::now() < end {
            self.probe_daemons();
            while self.callers.len() < usize::from(self.options.flows) {
                self.start_flow();
            }
            let ports: Vec<u16> = self.callers.keys().copied().collect();
            for port in ports {
                self.step_caller(port, |caller, net, now| caller.poll(net, now));
            }
            while let Ok(count) = self.site.caller.recv(&mut buf) {
                if count >= 32 {
                    let port = u16::from_be_bytes([buf[0], buf[1]]);
                    let answer = &buf[..count];
                    self.step_caller(port, |caller, net, now| {
                        caller.handle_answer(net, answer, now)
                    });
                }
            }
            self.callers
                .retain(|_, caller| caller.stage != Stage::Ended);
        }
    }

    /// Applies `step` to a caller, sends the resulting packet and records the event.
    fn step_caller(
        &mut self,
        port: u16,
        step: impl FnOnce(&mut Caller, u8, Instant) -> (Option<Vec<u8>>, Option<FlowEvent>),
    ) {
        let (net, index) = (self.options.net, self.route(port));
        let Some(caller) = self.callers.get_mut(&port) else {
            return;
        };
        let previous_daemon = caller.daemon;
        let (packet, event) = step(caller, net, Instant::now());
        if let Some(packet) = packet {
            caller.daemon = self.daemons[index].number;
            self.site.send(&self.daemons[index], &packet);
        }
        if let Some(event) = event {
            self.record_event(port, previous_daemon, event);
        }
    }

    /// Returns the index of the daemon to which the routers send a flow.
    fn route(&self, port: u16) -> usize {
        let ready: Vec<usize> = (0..self.daemons.len())
            .filter(|&index| self.routing[index].1)
            .collect();
        match ready.len() {
            0 => usize::from(port) % self.daemons.len(),
            count => ready[usize::from(port) % count],
        }
    }

    /// Probes the daemons if due. Two failed probes in a row remove a daemon from
    /// routing; one successful probe adds it.
    fn probe_daemons(&mut self) {
        if Instant::now() < self.next_probe {
            return;
        }
        self.next_probe = Instant::now() + PROBE_INTERVAL;
        for index in 0..self.daemons.len() {
            let ready = !self.paused[index]
                && self.site.readiness_status(&self.daemons[index]) == Some(200);
            let failures = if ready { 0 } else { self.routing[index].0 + 1 };
            self.routing[index] = (failures, failures < 2 && (ready || self.routing[index].1));
            if ready {
                self.check_version(index);
            }
        }
    }

    /// Records a violation if the configuration version of a daemon process has
    /// decreased.
    fn check_version(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        let Some(version) = self.site.metric(daemon, "cicadaweir_config_version") else {
            return;
        };
        let highest = self.versions.entry(daemon.child.id()).or_insert(version);
        if version < *highest {
            let number = daemon.number;
            let violation =
                format!("daemon {number} went from configuration {highest} to {version}");
            self.report.violations.push(violation);
        }
        *highest = highest.max(version);
    }

    /// Counts an event of the flow whose last packet was sent to `daemon`, and
    /// records a violation if the event is not permitted.
    fn record_event(&mut self, port: u16, daemon: u8, event: FlowEvent) {
        match event {
            FlowEvent::Opened => self.report.opened += 1,
            FlowEvent::Answered => self.report.answered += 1,
            FlowEvent::GivenUp | FlowEvent::ResetByTarget => self.report.given_up += 1,
            FlowEvent::Moved(from, to) => {
                let violation = format!("the flow of port {port} moved from target {from} to {to}");
                self.report.violations.push(violation);
            }
            FlowEvent::ResetByOtherTarget(target, other) => {
                if self.is_undisturbed(daemon) && !self.crashed.contains_key(&target) {
                    let violation = format!(
                        "the flow of port {port}, open at target {target}, was reset by target {other}"
                    );
                    self.report.violations.push(violation);
                }
            }
            FlowEvent::ResetByDaemon(target) => {
                self.report.resets += 1;
                let target_disturbed =
                    self.crashed.contains_key(&target) || self.is_recently_disturbed(100 + target);
                if !target_disturbed && self.is_undisturbed(daemon) {
                    let violation = format!(
                        "daemon {daemon} reset the flow of port {port}, open at target {target}"
                    );
                    self.report.violations.push(violation);
                }
            }
        }
    }

    /// Returns whether the last disturbance of a daemon, or of a target with its number plus
    /// 100, ended a short time ago.
    fn is_recently_disturbed(&self, number: u8) -> bool {
        let end = self.disturbance_ends.get(&number);
        end.is_some_and(|end| end.elapsed() < RECOVERY_PERIOD)
    }

    /// Returns whether the rules hold for what a daemon does.
    fn is_undisturbed(&self, daemon: u8) -> bool {
        let paused = (0..self.daemons.len())
            .any(|index| self.paused[index] && self.daemons[index].number == daemon);
        !paused && !self.is_recently_disturbed(daemon)
    }

    /// Ends all faults and waits until the latest configuration is applied and
    /// requests are answered.
    fn recover(&mut self) {
        self.print_progress("all faults are cleared");
        self.resume_daemons();
        self.restart_targets();
        self.proxy.set_fault(ProxyFault::None);
        self.site.store.set_faults(StoreFaults::default());
        self.write_config();
        let version = self.version as f64;
        for index in 0..self.daemons.len() {
            self.site.wait_ready(&self.daemons[index]);
            self.site.wait_version(&self.daemons[index], version);
        }
        let answered = self.report.answered;
        wait_until("requests are answered again", || {
            self.run_callers(Duration::from_millis(200));
            self.report.answered > answered
        });
    }

    fn finish(mut self) -> Report {
        let mut target_violations = self
            .target_violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.report.violations.append(&mut target_violations);
        drop(target_violations);
        self.report
    }
}
