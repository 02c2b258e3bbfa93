//! Health and load of targets over HTTP.

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

/// How long a probe may take.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Probes that run at once.
const THREADS: usize = 4;

/// What a target's load endpoint answers, in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadBody {
    /// Open connections.
    pub open: u32,
    /// Requests at work and waiting.
    pub pending: u32,
    /// Requests completed since the start.
    pub completed: u64,
    /// Whether the target asks for no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Starts the probing threads; probes are asked for through the sender.
pub fn start(inbox: &Inbox) -> Sender<(TargetKey, SocketAddr)> {
    let (tx, rx) = channel();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..THREADS {
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

/// Probes targets one after the other.
#[derive(Debug, Clone)]
pub struct Prober {
    agent: Agent,
}

impl Default for Prober {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl Prober {
    /// Asks a target's load endpoint.
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
