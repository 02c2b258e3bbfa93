//! The core between the socket, the store and the logs.

mod lines;

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cicadaweir_core::{
    hash,
    prelude::*,
    steer::{
        DropReason, Observation, Options, Presence, Segment, Steering, TargetState, Trust, Verdict,
    },
    time,
};
use cicadaweir_platform::packet::{self, MAX_DATAGRAM_BYTES};
use log::{debug, info, warn};

use crate::{
    logs::{Budget, Kind},
    planned_stop::PlannedStop,
    pool::Pool,
    settings::{Carrier, CookieSettings},
    socket::BatchSocket,
};

use super::{Meters, News, Seeds};

/// How often the settings file is looked at without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// How often counters are handed to the metrics.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Everything between the socket and the core.
#[derive(Debug)]
pub struct Engine {
    settings: CookieSettings,
    seeds: Seeds,
    path: String,
    steering: Steering,
    meters: Arc<Meters>,
    takes_packets: Arc<AtomicBool>,
    budget: Budget,
    stopping: Option<PlannedStop>,
    observations: Vec<Observation>,
    pool: Pool,
    buf: Vec<u8>,
    seed: u64,
    started: Instant,
    clock: Instant,
    now: time::Instant,
    next_count: Instant,
    next_settings: Instant,
    refused: Option<String>,
}

impl Engine {
    /// Makes the engine of a daemon whose settings come from `path`.
    pub fn new(settings: CookieSettings, path: String) -> Self {
        let clock = Instant::now();
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let seed = hash::mix(hash::name(&settings.member.name), started_ms);
        let options = Options {
            max_flows: settings.limits.flows as usize,
            flow_ttl: time::Duration::from_secs(settings.limits.flow_ttl_secs),
            ..Options::default()
        };
        Self {
            steering: Steering::new(options, &settings.member.zone, seed),
            budget: Budget::new(settings.limits.log_lines, clock),
            seeds: Seeds::new(settings.listen.peer, &settings.seeds),
            settings,
            path,
            meters: Arc::default(),
            takes_packets: Arc::default(),
            stopping: None,
            observations: Vec::new(),
            pool: Pool::new(options.max_pending as u32),
            buf: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            seed,
            started: clock,
            clock,
            now: time::Instant::START,
            next_count: clock,
            next_settings: clock + SETTINGS_INTERVAL,
            refused: None,
        }
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &CookieSettings {
        &self.settings
    }

    /// Returns the seeds, as they change with the settings.
    pub fn seeds(&self) -> Seeds {
        self.seeds.clone()
    }

    /// Returns the metrics.
    pub fn meters(&self) -> Arc<Meters> {
        Arc::clone(&self.meters)
    }

    /// Returns whether the platform is to send packets, as shared with the
    /// endpoint that it asks.
    pub fn takes_packets(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.takes_packets)
    }

    /// Returns a seed that differs between daemons and between starts.
    pub const fn seed(&self) -> u64 {
        self.seed
    }

    /// Reads the clock; to be called once for each turn of the loop.
    pub fn read_clock(&mut self) {
        self.clock = Instant::now();
        let elapsed = self.clock.duration_since(self.started);
        self.now = time::Instant::from_micros(elapsed.as_micros() as u64);
    }

    /// Handles a datagram of the routers.
    pub fn datagram(&mut self, socket: &BatchSocket, bytes: &[u8]) {
        if let Some(stopping) = &mut self.stopping {
            stopping.record_packet(self.clock);
        }
        let segment = match packet::decode(bytes) {
            Ok(segment) => segment,
            Err(err) => return debug!(err:display; "a datagram is no packet"),
        };
        let verdict = self.steering.packet(self.now, &segment);
        self.carry_out(socket, bytes, &segment, verdict);
        self.release(socket);
        self.observe();
    }

    fn carry_out(
        &mut self,
        socket: &BatchSocket,
        bytes: &[u8],
        segment: &Segment,
        verdict: Verdict,
    ) {
        match verdict {
            Verdict::Place { target, inputs } => {
                self.log_opening(segment, target, &inputs);
                self.forward(socket, bytes, target);
            }
            Verdict::Forward { target, adopted } => {
                if adopted {
                    self.log_adopted(segment, target);
                }
                self.forward(socket, bytes, target);
            }
            Verdict::Reset(reason) => {
                self.log_reset(segment, reason);
                self.reset(socket, segment);
            }
            Verdict::Drop(reason) => self.log_drop(segment, reason),
            Verdict::Wait(_) => {
                let packet = self.pool.offer();
                if self.pool.keep(packet, bytes) {
                    self.steering.enqueue(self.now, segment, packet);
                } else {
                    self.log_drop(segment, DropReason::Waited);
                }
            }
        }
    }

    /// Decides packets that have waited.
    pub fn release(&mut self, socket: &BatchSocket) {
        while self.steering.has_pending()
            && let Some(next) = self.steering.next_pending(self.now)
        {
            match next {
                Ok(waiter) => {
                    let bytes = self.pool.get(waiter.packet).unwrap_or_default().to_vec();
                    self.pool.release(waiter.packet);
                    let verdict = self.steering.decide_pending(self.now, &waiter);
                    self.carry_out(socket, &bytes, &waiter.segment, verdict);
                }
                Err(waiter) => {
                    self.pool.release(waiter.packet);
                    self.log_drop(&waiter.segment, DropReason::Waited);
                }
            }
        }
    }

    /// Takes in what the store has shown.
    pub fn news(&mut self, news: News) {
        for change in news.changes {
            let applied = self.steering.apply(self.now, change);
            self.log_applied(applied, news.revision);
        }
        if news.complete {
            self.steering.mark_store_read();
        }
        if news.current {
            let age = time::Duration::from_micros(news.age.as_micros() as u64);
            self.steering.record_store_view(self.now - age);
        }
        self.update_readiness();
    }

    /// Returns whether packets wait for a decision.
    pub fn has_pending(&self) -> bool {
        self.steering.has_pending()
    }

    /// Begins a planned stop.
    pub fn stop(&mut self) {
        info!(flows = self.steering.flow_count(); "stopping");
        self.stopping = Some(PlannedStop::new(
            self.clock,
            self.settings.limits.stop_limits(),
        ));
        self.update_readiness();
    }

    /// Returns whether a planned stop is over.
    pub fn has_stopped(&self) -> bool {
        self.stopping
            .is_some_and(|s| s.is_complete(self.clock, true))
    }

    /// Does what is due.
    pub fn tick(&mut self) {
        self.steering.tick(self.now);
        self.observe();
        if self.clock >= self.next_settings {
            self.next_settings = self.clock + SETTINGS_INTERVAL;
            self.reload(false);
        }
        if self.clock >= self.next_count {
            self.next_count = self.clock + COUNT_INTERVAL;
            self.count();
        }
    }

    /// Reads the settings file again and takes up what may change while the
    /// daemon runs; `asked` tells whether a signal asked for it.
    pub fn reload(&mut self, asked: bool) {
        match Carrier::load(&self.path) {
            Ok(Carrier::Cookie(settings)) => self.take_settings(*settings, asked),
            Ok(Carrier::Geneve(_)) => self.refuse("the carrier can't change while the daemon runs"),
            Err(err) => self.refuse(&err.to_string()),
        }
    }

    fn take_settings(&mut self, settings: CookieSettings, asked: bool) {
        self.refused = None;
        if settings == self.settings {
            if asked {
                info!("reloaded, the settings are unchanged");
            }
            return;
        }
        let fixed = settings.member != self.settings.member
            || settings.listen != self.settings.listen
            || settings.store != self.settings.store
            || settings.limits.flows != self.settings.limits.flows
            || settings.limits.flow_ttl_secs != self.settings.limits.flow_ttl_secs;
        if fixed {
            warn!(
                "reloaded in part: member, listen, store and flow limits change at the next start"
            );
        } else {
            info!("reloaded");
        }
        self.budget = Budget::new(settings.limits.log_lines, self.clock);
        self.seeds.set(&settings.seeds);
        self.settings = settings;
    }

    fn refuse(&mut self, why: &str) {
        if self.refused.as_deref() != Some(why) {
            warn!(why; "the settings file is refused, the settings stay as they were");
            self.refused = Some(why.to_owned());
        }
    }

    fn update_readiness(&self) {
        let ready = self.stopping.is_none() && self.steering.is_ready();
        let was = self.takes_packets.swap(ready, Ordering::Relaxed);
        if ready != was {
            info!(ready, version = self.steering.directory().version(); "readiness changed");
        }
    }

    fn forward(&mut self, socket: &BatchSocket, bytes: &[u8], target: TargetKey) {
        let Some(entry) = self.steering.directory().target(target) else {
            return;
        };
        packet::encode_for_target(bytes, entry.identity, &mut self.buf);
        socket.send(SocketAddr::from(entry.address), &self.buf);
    }

    fn reset(&mut self, socket: &BatchSocket, segment: &Segment) {
        packet::encode_reset(segment, &mut self.buf);
        let SocketAddr::V4(caller) = SocketAddr::from(segment.flow.caller) else {
            return;
        };
        let port = self.settings.listen.packets.port();
        let to = SocketAddrV4::new(Ipv4Addr::from(caller.ip().octets()), port);
        socket.send(SocketAddr::V4(to), &self.buf);
    }

    fn count(&mut self) {
        let directory = self.steering.directory();
        let (mut ready, mut draining, mut suspected) = (0, 0, 0);
        for (key, entry) in directory.targets() {
            if entry.presence == Presence::Listed {
                ready += usize::from(entry.state == TargetState::Ready);
                draining += usize::from(entry.state == TargetState::Draining);
                let trust = self.steering.trust(self.now, key);
                suspected += usize::from(trust == Trust::Suspected);
            }
        }
        let version = directory.version().unwrap_or(0);
        let flows = self.steering.flow_count();
        self.meters
            .set_state(version, flows, ready, draining, suspected);
        self.meters.count(self.steering.counters());
        for kind in Kind::ALL {
            let count = self.budget.take_left_out(kind);
            if count > 0 {
                info!(kind = kind.name(), count; "lines left out");
            }
        }
    }

    fn observe(&mut self) {
        let mut observations = std::mem::take(&mut self.observations);
        self.steering.take_observations(&mut observations);
        for observation in observations.drain(..) {
            self.meters.observe(&observation);
            match observation {
                Observation::Suspected { target, silent } => {
                    let silent_ms = silent.as_millis();
                    self.log_belief("target suspected", target, silent_ms);
                }
                Observation::Cleared { target } => {
                    self.log_belief("target answers again", target, 0)
                }
                Observation::Retransmitted {
                    flow,
                    target,
                    waited,
                } => self.log_repeated(flow, target, waited),
                Observation::OpeningAnswered { .. } | Observation::RequestAnswered { .. } => {}
            }
        }
        self.observations = observations;
    }
}
