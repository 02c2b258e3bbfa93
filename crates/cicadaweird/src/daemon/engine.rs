//! The core with its buffers, between the sockets.

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

use super::{outputs::Current, report::DaemonCounters};

/// Packets that may wait: for an answer of another entry VM, or for their turn
/// on the way out.
const POOL_PACKETS: u32 = 8_192;

/// The time between two reports of metrics.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The core with its buffers.
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
        let hash_key = settings.flow_key();
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

    /// Reads the clock; what happens until the next call happens at that time.
    /// One reading serves a whole run of datagrams.
    pub fn read_clock(&mut self) {
        let micros = self.started.elapsed().as_micros() as u64;
        self.now = time::Instant::from_micros(micros);
    }

    /// Takes an input of a helper thread.
    pub fn input(&mut self, tunnel: &BatchSocket, peer: &BatchSocket, input: Input) {
        match input {
            Input::List(list) => self.step(tunnel, peer, Event::List(list), None),
            Input::Note(note) => {
                self.step(tunnel, peer, Event::Note(note), None);
                self.share();
            }
            Input::Snapshot(parts) => {
                self.step(tunnel, peer, Event::Snapshot(parts), None);
                self.share();
            }
            Input::Probed(target, result) => {
                self.step(tunnel, peer, Event::Probed { target, result }, None);
            }
            Input::Query(query, tx) => {
                let reply = self.answer(tunnel, peer, &query);
                let _ = tx.send(reply);
            }
            Input::Stop => self.stop(tunnel, peer),
            Input::Block(addresses) => self.blocked = addresses,
            Input::Abort => {}
        }
    }

    fn stop(&mut self, tunnel: &BatchSocket, peer: &BatchSocket) {
        if self.stopping.is_none() {
            let now = Instant::now();
            self.stopping = Some(PlannedStop::new(now, self.stop_limits));
            self.step(tunnel, peer, Event::Leave, None);
        }
    }

    fn answer(&mut self, tunnel: &BatchSocket, peer: &BatchSocket, query: &Query) -> Reply {
        match query {
            Query::Status => {
                let counters = self.counters.all(self.node.counters());
                Self::json(200, &StatusBody::new(&self.node.status(), counters))
            }
            Query::Leave => {
                self.stop(tunnel, peer);
                Self::json(200, &"leaving")
            }
            Query::Explain(flow) => match self.node.explain(flow) {
                None => Reply {
                    code: 404,
                    body: "{\"error\":\"no service has the address\"}".to_owned(),
                },
                Some(explanation) => {
                    let catalog = self.node.catalog();
                    let name = |t| catalog.target(t).spec.name.clone();
                    Self::json(200, &ExplainBody::new(self.member.0, &explanation, name))
                }
            },
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, tunnel: &BatchSocket, peer: &BatchSocket) {
        self.step(tunnel, peer, Event::Tick, None);
        self.release_paced(tunnel);
        self.share();
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

    /// Tells the following threads how far the core has come.
    fn share(&self) {
        let shared = &self.shared;
        shared
            .known
            .store(self.node.known_revision().0, Ordering::Relaxed);
        let has_peers = self.node.view().len() > 1;
        shared.has_peers.store(has_peers, Ordering::Relaxed);
    }

    pub(super) fn step(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        event: Event,
        current: Option<Current<'_>>,
    ) {
        let now = self.now;
        self.node.handle(now, event, &mut self.actions);
        self.act(tunnel, peer, current);
    }

    /// Returns whether a planned stop is over.
    pub fn has_stopped(&self) -> bool {
        self.stopping.is_some_and(|s| {
            s.is_complete(Instant::now(), self.node.take_over_window_elapsed(self.now))
        })
    }
}
