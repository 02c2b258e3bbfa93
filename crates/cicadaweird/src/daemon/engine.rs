//! The core with its packet buffers, counters and timers.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering, mpsc::Sender},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cicadaweir_core::{
    hash,
    membership::{Health, MemberUpdate, Phase},
    node::Node,
    prelude::*,
    time,
};

use crate::{
    control::{ExplainBody, Query, Reply, StatusBody},
    inbox::Input,
    metrics::Reporter,
    pacer::Pacer,
    planned_stop::{PlannedStop, StopLimits},
    platform::Shared,
    pool::Pool,
    settings::Settings,
    socket::BatchSocket,
    tracing::Tracer,
};

use super::{outputs::CurrentPacket, report::DaemonCounters};

/// The most packets stored at a time: packets that wait for a lookup by another
/// entry VM, and answers queued for the pacer.
const POOL_PACKETS: u32 = 8_192;

/// The interval between two reports of metrics.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The core with the packet buffers, counters and clock of the daemon.
pub(super) struct Engine {
    pub node: Node,
    pub member: MemberId,
    pub fabric: SocketAddr,
    pub actions: Vec<Action>,
    pub scratch: Vec<u8>,
    pub pool: Pool,
    pub counters: DaemonCounters,
    pub shared: Arc<Shared>,
    pub probes: Sender<(TargetKey, SocketAddr)>,
    pub tracer: Tracer,
    pub pacer: Option<Pacer>,
    pub blocked: Vec<IpAddr>,
    pub hash_key: hash::HashKey,
    started: Instant,
    now: time::Instant,
    reporter: Reporter,
    next_report: Instant,
    pub stopping: Option<PlannedStop>,
    stop_limits: StopLimits,
}

impl Engine {
    pub fn new(
        settings: &Settings,
        shared: Arc<Shared>,
        probes: Sender<(TargetKey, SocketAddr)>,
    ) -> Self {
        let member = MemberId(settings.member.id);
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH);
        let me = MemberUpdate {
            id: member,
            incarnation: now_ms.map_or(1, |d| d.as_millis() as u64),
            phase: Phase::Joining,
            health: Health::Alive,
            zone: ZoneId(settings.member.zone),
            address: settings.listen.peer.into(),
        };
        let hash_key = settings.flow_hash_key();
        let start = time::Instant::START;
        Self {
            node: Node::new(settings.node_options(), hash_key, me, start),
            member,
            fabric: settings.fabric,
            actions: Vec::new(),
            scratch: Vec::new(),
            pool: Pool::new(POOL_PACKETS),
            counters: DaemonCounters::default(),
            shared,
            probes,
            tracer: Tracer::new(settings.trace.one_in, settings.member.id),
            pacer: Pacer::new(
                settings.limits.answer_rate,
                POOL_PACKETS as usize / 2,
                Instant::now(),
            ),
            blocked: Vec::new(),
            hash_key,
            started: Instant::now(),
            now: start,
            reporter: Reporter::new(settings.metrics.statsd),
            next_report: Instant::now(),
            stopping: None,
            stop_limits: StopLimits {
                min_duration: Duration::ZERO,
                idle_timeout: Duration::from_secs(settings.limits.quiet_stop_secs),
                max_duration: Duration::from_secs(settings.limits.stop_secs),
            },
        }
    }

    pub(super) fn flow_hash(&self, flow: &cicadaweir_core::flow::FlowKey) -> u64 {
        hash::flow(&self.hash_key, flow)
    }

    /// Reads the clock. All events until the next call have this time, so that the
    /// clock is read once per batch of datagrams.
    pub fn update_clock(&mut self) {
        let micros = self.started.elapsed().as_micros() as u64;
        self.now = time::Instant::from_micros(micros);
    }

    /// Handles an input from a helper thread.
    pub fn handle_input(&mut self, tunnel: &BatchSocket, peer: &BatchSocket, input: Input) {
        match input {
            Input::List(list) => self.handle_event(tunnel, peer, Event::List(list), None),
            Input::Note(note) => {
                self.handle_event(tunnel, peer, Event::Note(note), None);
                self.publish_progress();
            }
            Input::Snapshot(parts) => {
                self.handle_event(tunnel, peer, Event::Snapshot(parts), None);
                self.publish_progress();
            }
            Input::Probed(target, result) => {
                self.handle_event(tunnel, peer, Event::Probed { target, result }, None);
            }
            Input::Query(query, tx) => {
                let reply = self.handle_query(tunnel, peer, &query);
                let _ = tx.send(reply);
            }
            Input::Stop => self.stop(tunnel, peer),
            Input::Block(addresses) => self.blocked = addresses,
            Input::Abort => {}
        }
    }

    /// Starts a planned stop, unless one is in progress.
    fn stop(&mut self, tunnel: &BatchSocket, peer: &BatchSocket) {
        if self.stopping.is_none() {
            let now = Instant::now();
            self.stopping = Some(PlannedStop::new(now, self.stop_limits));
            self.handle_event(tunnel, peer, Event::Leave, None);
        }
    }

    fn handle_query(&mut self, tunnel: &BatchSocket, peer: &BatchSocket, query: &Query) -> Reply {
        match query {
            Query::Status => {
                let counters = self.counters.all(self.node.counters());
                Self::json_reply(200, &StatusBody::new(&self.node.status(), counters))
            }
            Query::Leave => {
                self.stop(tunnel, peer);
                Self::json_reply(200, &"leaving")
            }
            Query::Explain(flow) => match self.node.explain(flow) {
                None => Reply {
                    code: 404,
                    body: "{\"error\":\"no service has the address\"}".to_owned(),
                },
                Some(explanation) => {
                    let catalog = self.node.catalog();
                    let name = |t| catalog.target(t).spec.name.clone();
                    Self::json_reply(200, &ExplainBody::new(self.member.0, &explanation, name))
                }
            },
        }
    }

    /// Advances the core's timers, sends queued answers and reports metrics.
    pub fn tick(&mut self, tunnel: &BatchSocket, peer: &BatchSocket) {
        self.handle_event(tunnel, peer, Event::Tick, None);
        self.send_paced(tunnel);
        self.publish_progress();
        let now = Instant::now();
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            let counters = self.counters.all(self.node.counters());
            let flows = self.node.flows().len() as u64;
            let revision = self.node.in_force().0;
            self.reporter
                .report(&counters, &[("flows", flows), ("in_force", revision)]);
        }
    }

    /// Publishes the core's progress to the threads that follow the platform.
    fn publish_progress(&self) {
        let shared = &self.shared;
        shared
            .known
            .store(self.node.known_revision().0, Ordering::Relaxed);
        let has_peers = self.node.view().len() > 1;
        shared.has_peers.store(has_peers, Ordering::Relaxed);
    }

    /// Passes an event to the core and executes the resulting actions. `current`
    /// is the packet that the event is about, if any.
    pub(super) fn handle_event(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        event: Event,
        current: Option<CurrentPacket<'_>>,
    ) {
        let now = self.now;
        self.node.handle(now, event, &mut self.actions);
        self.execute_actions(tunnel, peer, current);
    }

    /// Returns whether a planned stop is complete.
    pub fn has_stopped(&self) -> bool {
        self.stopping.is_some_and(|s| {
            s.is_complete(Instant::now(), self.node.take_over_window_elapsed(self.now))
        })
    }
}
