//! Asking all entry VMs through their control endpoints.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cicadaweird::control::{ExplainBody, StatusBody};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// How long one entry VM may take to answer.
const TIMEOUT: Duration = Duration::from_millis(800);

/// The pause between two looks at the fleet.
const PAUSE: Duration = Duration::from_millis(50);

/// The control endpoints of a fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    agent: Agent,
    controls: Vec<SocketAddr>,
}

/// Which entry VMs have a revision in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InForce {
    /// For each zone, the entry VMs that answered and their revisions.
    pub zones: IndexMap<u16, Vec<(u32, u64)>>,
    /// The control endpoints that did not answer.
    pub silent: Vec<SocketAddr>,
    /// Whether all that answered have the revision in force.
    pub everywhere: bool,
    /// How long it took.
    pub waited: Duration,
}

impl Fleet {
    /// Makes a client; nothing is sent yet.
    pub fn new(controls: Vec<SocketAddr>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            controls,
        }
    }

    /// Returns the control endpoints.
    pub fn controls(&self) -> &[SocketAddr] {
        &self.controls
    }

    fn get<T: DeserializeOwned>(&self, control: SocketAddr, call: &str) -> Option<T> {
        let mut response = self
            .agent
            .get(format!("http://{control}{call}"))
            .call()
            .ok()?;
        if response.status().as_u16() != 200 {
            return None;
        }
        let bytes = response.body_mut().read_to_vec().ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Asks every entry VM for its summary, at the same time.
    pub fn status(&self) -> Vec<(SocketAddr, Option<StatusBody>)> {
        self.ask_all("/status")
    }

    /// Asks every entry VM where a flow would go.
    pub fn explain(&self, flow: &str) -> Vec<(SocketAddr, Option<ExplainBody>)> {
        self.ask_all(&format!("/explain?flow={flow}"))
    }

    fn ask_all<T: DeserializeOwned + Send>(&self, call: &str) -> Vec<(SocketAddr, Option<T>)> {
        thread::scope(|scope| {
            let asked: Vec<_> = self
                .controls
                .iter()
                .map(|&control| (control, scope.spawn(move || self.get(control, call))))
                .collect();
            asked
                .into_iter()
                .map(|(control, asked)| (control, asked.join().ok().flatten()))
                .collect()
        })
    }

    /// Asks an entry VM for a planned stop; returns whether it answered.
    pub fn leave(&self, control: SocketAddr) -> bool {
        let call = self.agent.post(format!("http://{control}/leave"));
        call.send_empty().is_ok()
    }

    /// Waits until all entry VMs that answer have a revision in force.
    pub fn wait_in_force(&self, revision: u64, limit: Duration) -> InForce {
        let started = Instant::now();
        loop {
            let mut result = self.in_force(revision);
            result.waited = started.elapsed();
            if result.everywhere || result.waited >= limit {
                return result;
            }
            thread::sleep(PAUSE);
        }
    }

    fn in_force(&self, revision: u64) -> InForce {
        let mut result = InForce::default();
        for (control, status) in self.status() {
            let Some(status) = status else {
                result.silent.push(control);
                continue;
            };
            let zone = result.zones.entry(status.zone).or_default();
            zone.push((status.member, status.in_force));
        }
        let mut revisions = result.zones.values().flatten();
        result.everywhere = !result.zones.is_empty() && revisions.all(|&(_, r)| r >= revision);
        result
    }
}
