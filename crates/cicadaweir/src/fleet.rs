//! Client of the control endpoints of all entry VMs.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cicadaweird::control::{ExplainBody, StatusBody};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// The timeout of a request to an entry VM.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// The interval at which the status is polled while waiting for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A client of the control endpoints of a fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    agent: Agent,
    controls: Vec<SocketAddr>,
}

/// The entry VMs on which a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InForce {
    /// For each zone, the entry VMs that answered with their revisions in force.
    pub zones: IndexMap<u16, Vec<(u32, u64)>>,
    /// The control endpoints that did not answer.
    pub unreachable: Vec<SocketAddr>,
    /// Whether at least one entry VM answered, and the revision is in force on all
    /// that did.
    pub everywhere: bool,
    /// The time spent waiting.
    pub waited: Duration,
}

impl Fleet {
    /// Creates a client without sending requests.
    pub fn new(controls: Vec<SocketAddr>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
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

    fn get<T: DeserializeOwned>(&self, control: SocketAddr, path: &str) -> Option<T> {
        let mut response = self
            .agent
            .get(format!("http://{control}{path}"))
            .call()
            .ok()?;
        if response.status().as_u16() != 200 {
            return None;
        }
        let bytes = response.body_mut().read_to_vec().ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Requests the status of all entry VMs concurrently; `None` for one that did not
    /// answer.
    pub fn status(&self) -> Vec<(SocketAddr, Option<StatusBody>)> {
        self.get_from_all("/status")
    }

    /// Asks all entry VMs concurrently where the next packet of a flow would go.
    /// `None` for one that did not answer or knows no service with the address.
    pub fn explain(&self, flow: &str) -> Vec<(SocketAddr, Option<ExplainBody>)> {
        self.get_from_all(&format!("/explain?flow={flow}"))
    }

    fn get_from_all<T: DeserializeOwned + Send>(&self, path: &str) -> Vec<(SocketAddr, Option<T>)> {
        thread::scope(|scope| {
            let requests: Vec<_> = self
                .controls
                .iter()
                .map(|&control| (control, scope.spawn(move || self.get(control, path))))
                .collect();
            requests
                .into_iter()
                .map(|(control, request)| (control, request.join().ok().flatten()))
                .collect()
        })
    }

    /// Requests a planned stop of an entry VM; returns whether it answered.
    pub fn request_stop(&self, control: SocketAddr) -> bool {
        let request = self.agent.post(format!("http://{control}/leave"));
        request.send_empty().is_ok()
    }

    /// Waits until a revision is in force on all entry VMs that answer, or until the
    /// timeout.
    pub fn wait_in_force(&self, revision: u64, timeout: Duration) -> InForce {
        let started = Instant::now();
        loop {
            let mut result = self.in_force(revision);
            result.waited = started.elapsed();
            if result.everywhere || result.waited >= timeout {
                return result;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn in_force(&self, revision: u64) -> InForce {
        let mut result = InForce::default();
        for (control, status) in self.status() {
            let Some(status) = status else {
                result.unreachable.push(control);
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
