//! Health and load probes of targets over HTTP.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};

use cicadaweir_core::{
    catalog::TargetKey,
    load::{ProbeResult, Report},
};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::inbox::{Inbox, Input};

/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of probe threads, and so of concurrent probes.
const PROBE_THREADS: usize = 4;

/// The JSON body of a target's load endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadBody {
    /// Open connections.
    pub open: u32,
    /// Requests in progress and queued.
    pub pending: u32,
    /// Requests completed since the target started.
    pub completed: u64,
    /// Whether the target requests that no new flows be sent to it.
    #[serde(default)]
    pub draining: bool,
}

/// Starts the probe threads. Each target and probe address sent through the
/// returned sender is probed once; the result arrives as [`Input::Probed`].
pub fn start(inbox: &Inbox) -> Sender<(TargetKey, SocketAddr)> {
    let (tx, rx) = channel();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..PROBE_THREADS {
        let rx = Arc::clone(&rx);
        let inbox = inbox.clone();
        thread::spawn(move || run(&rx, &inbox));
    }
    tx
}

fn run(rx: &Mutex<Receiver<(TargetKey, SocketAddr)>>, inbox: &Inbox) {
    let prober = Prober::default();
    loop {
        let next = rx.lock().map(|rx| rx.recv());
        let Ok(Ok((target, addr))) = next else {
            return;
        };
        let result = prober.probe(addr);
        if !inbox.send(Input::Probed(target, result)) {
            return;
        }
    }
}

/// An HTTP client that probes one target at a time.
#[derive(Debug, Clone)]
pub struct Prober {
    agent: Agent,
}

impl Default for Prober {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PROBE_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl Prober {
    /// Requests a target's load report. Returns `Silent` without a response, and
    /// `Unhealthy` for an unexpected status or body.
    pub fn probe(&self, addr: SocketAddr) -> ProbeResult {
        let Ok(mut response) = self.agent.get(format!("http://{addr}/load")).call() else {
            return ProbeResult::Silent;
        };
        if response.status().as_u16() != 200 {
            return ProbeResult::Unhealthy;
        }
        let bytes = response.body_mut().read_to_vec();
        let body = bytes.ok().and_then(|b| serde_json::from_slice(&b).ok());
        let Some(body): Option<LoadBody> = body else {
            return ProbeResult::Unhealthy;
        };
        ProbeResult::Healthy(Report {
            open: body.open,
            pending: body.pending,
            completed: body.completed,
            draining: body.draining,
        })
    }
}
