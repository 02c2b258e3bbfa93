//! Connects the core with the packet socket, the store, the metrics and the log.

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
        AdmissionOptions, DropReason, LimitPolicy, Observation, Options, Presence, Segment,
        Steering, TargetState, Trust, Verdict,
    },
    time,
};
use cicadaweir_platform::packet::{self, MAX_DATAGRAM_BYTES};
use log::{debug, info, warn};

use crate::{
    clock,
    logs::{LineKind, RateLimiter},
    planned_stop::PlannedStop,
    pool::Pool,
    settings::{Carrier, CookieSettings},
    socket::BatchSocket,
};

use super::{Meters, Seeds, StoreUpdate};

/// The interval at which the settings file is reloaded without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The interval at which metrics are updated from the core's counters.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Handles packets, store updates and timers on the thread of the event loop; owns
/// the core's state.
#[derive(Debug)]
pub struct Engine {
    settings: CookieSettings,
    seeds: Seeds,
    settings_path: String,
    steering: Steering,
    meters: Arc<Meters>,
    is_ready: Arc<AtomicBool>,
    log_limiter: RateLimiter,
    stopping: Option<PlannedStop>,
    observations: Vec<Observation>,
    pool: Pool,
    buf: Vec<u8>,
    rng_seed: u64,
    /// The time of the last call of [`Engine::update_clock`].
    clock: Instant,
    /// The same time for the core.
    now: time::Instant,
    next_metrics: Instant,
    next_reload: Instant,
    /// Why the last reload was rejected; avoids repeated log lines.
    rejection: Option<String>,
}

impl Engine {
    /// Creates the engine of a daemon whose settings file is at `settings_path`.
    pub fn new(settings: CookieSettings, settings_path: String) -> Self {
        let clock = Instant::now();
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let rng_seed = hash::mix(hash::name(&settings.member.name), started_ms);
        let policy = if settings.limits.refuse {
            LimitPolicy::Objective
        } else {
            LimitPolicy::Unlimited
        };
        let options = Options {
            admission: AdmissionOptions {
                policy,
                ..AdmissionOptions::default()
            },
            max_flows: settings.limits.flows as usize,
            flow_ttl: time::Duration::from_secs(settings.limits.flow_ttl_secs),
            ..Options::default()
        };
        Self {
            steering: Steering::new(options, &settings.member.zone, rng_seed),
            log_limiter: RateLimiter::new(settings.limits.log_lines, clock),
            seeds: Seeds::new(settings.listen.peer, &settings.seeds),
            settings,
            settings_path,
            meters: Arc::default(),
            is_ready: Arc::default(),
            stopping: None,
            observations: Vec::new(),
            pool: Pool::new(options.max_pending as u32),
            buf: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            rng_seed,
            clock,
            now: clock::now(),
            next_metrics: clock,
            next_reload: clock + RELOAD_INTERVAL,
            rejection: None,
        }
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &CookieSettings {
        &self.settings
    }

    /// Returns a shared handle to the seeds, which a reload may replace.
    pub fn seeds(&self) -> Seeds {
        self.seeds.clone()
    }

    /// Returns a shared handle to the metrics.
    pub fn meters(&self) -> Arc<Meters> {
        Arc::clone(&self.meters)
    }

    /// Returns a shared flag for the readiness check: whether the platform may send
    /// packets to this entry VM.
    pub fn readiness(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_ready)
    }

    /// Returns the seed for random numbers; it differs between daemons and between
    /// starts.
    pub const fn rng_seed(&self) -> u64 {
        self.rng_seed
    }

    /// Reads the clock. Each handler of the event loop calls it before the methods
    /// that depend on the time.
    pub fn update_clock(&mut self) {
        self.clock = Instant::now();
        self.now = clock::now();
    }

    /// Handles a datagram from the platform's routers.
    pub fn handle_datagram(&mut self, socket: &BatchSocket, bytes: &[u8]) {
        if let Some(stopping) = &mut self.stopping {
            stopping.record_packet(self.clock);
        }
        let segment = match packet::decode(bytes) {
            Ok(segment) => segment,
            Err(err) => return debug!(err:display; "datagram could not be decoded"),
        };
        let verdict = self.steering.packet(self.now, &segment);
        self.execute(socket, bytes, &segment, verdict);
        self.process_pending(socket);
        self.process_observations();
    }

    /// Executes the core's verdict on a packet.
    fn execute(&mut self, socket: &BatchSocket, bytes: &[u8], segment: &Segment, verdict: Verdict) {
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
                self.send_reset(socket, segment);
            }
            Verdict::Drop(reason) => self.log_drop(segment, reason),
            Verdict::Wait(_) => {
                let packet = self.pool.next_handle();
                if self.pool.store(packet, bytes) {
                    self.steering.enqueue(self.now, segment, packet);
                } else {
                    self.log_drop(segment, DropReason::Waited);
                }
            }
        }
    }

    /// Retries pending packets and drops those that have waited too long.
    pub fn process_pending(&mut self, socket: &BatchSocket) {
        while self.steering.has_pending()
            && let Some(next) = self.steering.next_pending(self.now)
        {
            match next {
                Ok(pending) => {
                    let bytes = self.pool.get(pending.packet).unwrap_or_default().to_vec();
                    self.pool.release(pending.packet);
                    let verdict = self.steering.decide_pending(self.now, &pending);
                    self.execute(socket, &bytes, &pending.segment, verdict);
                }
                Err(pending) => {
                    self.pool.release(pending.packet);
                    self.log_drop(&pending.segment, DropReason::Waited);
                }
            }
        }
    }

    /// Applies changes in the store.
    pub fn apply_update(&mut self, update: StoreUpdate) {
        for change in update.changes {
            let applied = self.steering.apply(self.now, change);
            self.log_applied(applied, update.revision);
        }
        if update.complete {
            self.steering.mark_store_read();
        }
        if update.current {
            self.steering.record_store_view(update.viewed_at);
        }
        self.update_readiness();
    }

    /// Returns whether packets are pending a decision.
    pub fn has_pending(&self) -> bool {
        self.steering.has_pending()
    }

    /// Starts a planned stop: the readiness check fails from now on.
    pub fn stop(&mut self) {
        info!(flows = self.steering.flow_count(); "stopping");
        self.stopping = Some(PlannedStop::new(
            self.clock,
            self.settings.limits.stop_limits(),
        ));
        self.update_readiness();
    }

    /// Returns whether a planned stop has completed.
    pub fn has_stopped(&self) -> bool {
        let decided_all = !self.steering.has_pending();
        self.stopping
            .is_some_and(|s| s.is_complete(self.clock, decided_all))
    }

    /// Runs periodic work that is due.
    pub fn tick(&mut self) {
        self.steering.tick(self.now);
        self.process_observations();
        if self.clock >= self.next_reload {
            self.next_reload = self.clock + RELOAD_INTERVAL;
            self.reload(false);
        }
        if self.clock >= self.next_metrics {
            self.next_metrics = self.clock + METRICS_INTERVAL;
            self.update_metrics();
        }
    }

    /// Reloads the settings file and applies the settings that may change while
    /// the daemon runs. `by_signal` is false for periodic reloads, which log
    /// nothing if the settings are unchanged.
    pub fn reload(&mut self, by_signal: bool) {
        match Carrier::load(&self.settings_path) {
            Ok(Carrier::Cookie(settings)) => self.apply_settings(*settings, by_signal),
            Ok(Carrier::Geneve(_)) => {
                self.reject_settings("the carrier can't change without a restart")
            }
            Err(err) => self.reject_settings(&err.to_string()),
        }
    }

    fn apply_settings(&mut self, settings: CookieSettings, by_signal: bool) {
        self.rejection = None;
        if settings == self.settings {
            if by_signal {
                info!("reloaded, the settings are unchanged");
            }
            return;
        }
        let needs_restart = settings.member != self.settings.member
            || settings.listen != self.settings.listen
            || settings.store != self.settings.store
            || settings.limits.flows != self.settings.limits.flows
            || settings.limits.refuse != self.settings.limits.refuse
            || settings.limits.flow_ttl_secs != self.settings.limits.flow_ttl_secs;
        if needs_restart {
            warn!(
                "reloaded in part: changes of member, listen, store, refuse and flow limits need a restart"
            );
        } else {
            info!("reloaded");
        }
        self.log_limiter = RateLimiter::new(settings.limits.log_lines, self.clock);
        self.seeds.set(&settings.seeds);
        self.settings = settings;
    }

    /// Logs a rejection of the settings file, once per reason.
    fn reject_settings(&mut self, why: &str) {
        if self.rejection.as_deref() != Some(why) {
            warn!(why; "settings file rejected, the previous settings stay in force");
            self.rejection = Some(why.to_owned());
        }
    }

    fn update_readiness(&self) {
        let ready = self.stopping.is_none() && self.steering.is_ready();
        let was_ready = self.is_ready.swap(ready, Ordering::Relaxed);
        if ready != was_ready {
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

    /// Sends a reset to the caller of a packet. The datagram goes to the packet port
    /// at the caller's address, which is the same port as at entry VMs; the flow's
    /// own ports are in the header.
    fn send_reset(&mut self, socket: &BatchSocket, segment: &Segment) {
        packet::encode_reset(segment, &mut self.buf);
        let SocketAddr::V4(caller) = SocketAddr::from(segment.flow.caller) else {
            return;
        };
        let port = self.settings.listen.packets.port();
        let to = SocketAddrV4::new(Ipv4Addr::from(caller.ip().octets()), port);
        socket.send(SocketAddr::V4(to), &self.buf);
    }

    fn update_metrics(&mut self) {
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
        self.meters.add_decisions(self.steering.counters());
        for kind in LineKind::ALL {
            let count = self.log_limiter.take_suppressed(kind);
            if count > 0 {
                info!(kind = kind.name(), count; "log lines suppressed by the rate limit");
            }
        }
    }

    fn process_observations(&mut self) {
        let mut observations = std::mem::take(&mut self.observations);
        self.steering.take_observations(&mut observations);
        for observation in observations.drain(..) {
            self.meters.record_observation(&observation);
            match observation {
                Observation::Suspected { target, silent } => {
                    let silent_ms = silent.as_millis();
                    self.log_suspicion("target suspected", target, silent_ms);
                }
                Observation::Cleared { target } => {
                    self.log_suspicion("target no longer suspected", target, 0)
                }
                Observation::Retransmitted {
                    flow,
                    target,
                    waited,
                } => self.log_retransmitted(flow, target, waited),
                Observation::Refusing {
                    service,
                    refuses,
                    limit,
                    in_flight,
                    response_time,
                } => {
                    let directory = self.steering.directory();
                    let message = if refuses {
                        "service refuses openings"
                    } else {
                        "service no longer refuses openings"
                    };
                    info!(
                        service = directory.service_name(service),
                        limit,
                        in_flight,
                        response_ms = response_time.as_millis();
                        "{message}"
                    );
                }
                Observation::OpeningAnswered { .. } | Observation::RequestAnswered { .. } => {}
            }
        }
        self.observations = observations;
    }
}
