//! Counters and histograms, as text in the OpenMetrics format.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use cicadaweir_core::{
    mirror::{Call, Source, StoreResponse},
    steer::{Counters, Observation},
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

type Labels = Vec<(&'static str, &'static str)>;

/// Upper bounds of the histograms' buckets: 1 ms doubled up to 4 s, beyond a
/// caller's patience.
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
    counted: Mutex<Counters>,
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
            counted: Mutex::default(),
        };
        this.register();
        this
    }
}

impl Meters {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("packets", "Decisions on packets", self.packets.clone());
        r.register(
            "targets",
            "Targets by what is believed of them",
            self.targets.clone(),
        );
        r.register("flows", "Flows that are remembered", self.flows.clone());
        r.register("config_version", "Version in force", self.version.clone());
        let help = "Seconds from a caller's first opening to its acknowledgement";
        r.register("opening_wait_seconds", help, self.opening_wait.clone());
        let help = "Seconds from a request to the first acknowledged byte of its answer";
        r.register("request_seconds", help, self.request_time.clone());
        r.register(
            "store_calls",
            "Calls of the store and of other entry VMs",
            self.store_calls.clone(),
        );
        r.register(
            "store_seconds",
            "Seconds that reads of the store took",
            self.store_time.clone(),
        );
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(err) = encode(&mut text, &self.registry) {
            error!(err:display; "metrics can't be encoded");
        }
        text
    }

    /// Counts a call of the store or of another entry VM.
    pub fn call(&self, source: Source, call: &Call, answer: &StoreResponse, took: Duration) {
        let kind = match call {
            Call::Range { stale: true, .. } => "stale_read",
            Call::Range { stale: false, .. } => "read",
            Call::Watch { .. } => "watch",
            Call::Backoff(_) => return,
        };
        let outcome = match answer {
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
            self.store_time.observe(took.as_secs_f64());
        }
    }

    /// Records what the core has learned.
    pub fn observe(&self, observation: &Observation) {
        match observation {
            Observation::OpeningAnswered { took } => self.opening_wait.observe(took.as_secs_f64()),
            Observation::RequestAnswered { took } => self.request_time.observe(took.as_secs_f64()),
            Observation::Suspected { .. }
            | Observation::Cleared { .. }
            | Observation::Retransmitted { .. } => {}
        }
    }

    /// Sets how many targets there are of each kind, and how many flows.
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

    /// Adds what the core has decided since the last call.
    pub fn count(&self, counters: &Counters) {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        for (now, before) in counters.entries().zip(counted.entries()) {
            let labels = vec![("decision", now.0), ("detail", now.1)];
            self.packets.get_or_create(&labels).inc_by(now.2 - before.2);
        }
        *counted = *counters;
    }
}
