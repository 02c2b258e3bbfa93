//! The daemon's metrics, encoded as text in the OpenMetrics format.

use std::sync::{Mutex, PoisonError};

use cicadaweir_core::{
    mirror::{Call, Source, StoreResponse},
    steer::{Counters, Observation},
    time,
};
use log::error;
use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use super::RejectionKind;

type Labels = Vec<(&'static str, &'static str)>;

/// The number of buckets of a histogram. Their upper bounds double from 1 ms to
/// 4 s, which is longer than callers wait for a response.
const BUCKETS: u16 = 13;

/// All metrics of the daemon.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    packets: Family<Labels, Counter>,
    targets: Family<Labels, Gauge>,
    flows: Gauge,
    version: Gauge,
    opening_wait: Histogram,
    request_time: Histogram,
    store_calls: Family<Labels, Counter>,
    store_time: Histogram,
    rejected: Family<Labels, Counter>,
    /// The counters as of the last call of [`Meters::add_decisions`].
    last_counters: Mutex<Counters>,
}

impl Default for Meters {
    fn default() -> Self {
        let buckets = || exponential_buckets(0.001, 2.0, BUCKETS);
        let mut this = Self {
            registry: Registry::with_prefix("cicadaweir"),
            packets: Family::default(),
            targets: Family::default(),
            flows: Gauge::default(),
            version: Gauge::default(),
            opening_wait: Histogram::new(buckets()),
            request_time: Histogram::new(buckets()),
            store_calls: Family::default(),
            store_time: Histogram::new(buckets()),
            rejected: Family::default(),
            last_counters: Mutex::default(),
        };
        this.register();
        this
    }
}

impl Meters {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("packets", "Packets by decision", self.packets.clone());
        r.register("targets", "Targets by state", self.targets.clone());
        r.register("flows", "Flows in the flow table", self.flows.clone());
        r.register(
            "config_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        let help = "Seconds from a caller's first opening to its acknowledgement";
        r.register("opening_wait_seconds", help, self.opening_wait.clone());
        let help = "Seconds from a request to the first acknowledged byte of its response";
        r.register("request_seconds", help, self.request_time.clone());
        r.register(
            "store_calls",
            "Requests to the store and to other entry VMs",
            self.store_calls.clone(),
        );
        r.register(
            "store_seconds",
            "Seconds from the request to the response of a range read",
            self.store_time.clone(),
        );
        r.register(
            "store_values_rejected",
            "Values of the store that can't be used",
            self.rejected.clone(),
        );
    }

    /// Returns all metrics as text in the OpenMetrics format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(err) = encode(&mut text, &self.registry) {
            error!(err:display; "metrics could not be encoded");
        }
        text
    }

    /// Records a request to the store or to another entry VM.
    pub fn record_call(
        &self,
        source: Source,
        call: &Call,
        response: &StoreResponse,
        elapsed: time::Duration,
    ) {
        let kind = match call {
            Call::Range { stale: true, .. } => "stale_read",
            Call::Range { stale: false, .. } => "read",
            Call::Watch { .. } => "watch",
            Call::Backoff(_) => return,
        };
        let outcome = match response {
            StoreResponse::Failed => "failed",
            StoreResponse::Compacted => "compacted",
            StoreResponse::Page { .. } | StoreResponse::Events { .. } => "ok",
        };
        let source = match source {
            Source::Store => "store",
            Source::Peer(_) => "peer",
        };
        let labels = vec![("source", source), ("kind", kind), ("outcome", outcome)];
        self.store_calls.get_or_create(&labels).inc();
        if matches!(call, Call::Range { .. }) {
            self.store_time.observe(elapsed.as_secs_f64());
        }
    }

    /// Counts a value of the store that can't be used.
    pub fn record_rejection(&self, kind: RejectionKind) {
        let labels = vec![("kind", kind.name())];
        self.rejected.get_or_create(&labels).inc();
    }

    /// Records the durations in an observation of the core.
    pub fn record_observation(&self, observation: &Observation) {
        match observation {
            Observation::OpeningAnswered { took } => self.opening_wait.observe(took.as_secs_f64()),
            Observation::RequestAnswered { took } => self.request_time.observe(took.as_secs_f64()),
            Observation::Refusing { .. }
            | Observation::Suspected { .. }
            | Observation::Cleared { .. }
            | Observation::Retransmitted { .. } => {}
        }
    }

    /// Sets the gauges: the version of the configuration, the number of flows and
    /// the number of targets by state.
    pub fn set_state(
        &self,
        version: u64,
        flows: usize,
        ready: usize,
        draining: usize,
        suspected: usize,
    ) {
        self.version.set(version as i64);
        self.flows.set(flows as i64);
        for (state, count) in [
            ("ready", ready),
            ("draining", draining),
            ("suspected", suspected),
        ] {
            let gauge = self.targets.get_or_create(&vec![("state", state)]);
            gauge.set(count as i64);
        }
    }

    /// Adds the core's decisions since the last call.
    pub fn add_decisions(&self, counters: &Counters) {
        let mut last = self
            .last_counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (now, before) in counters.entries().zip(last.entries()) {
            let labels = vec![("decision", now.0), ("detail", now.1)];
            self.packets.get_or_create(&labels).inc_by(now.2 - before.2);
        }
        *last = *counters;
    }
}
