//! State of a deployment whose packets carry a cookie with their target.
//!
//! Routes and targets are read from the store, decoded as in an entry VM; the state
//! of entry VMs is read from their metrics. Nothing is written.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use cicadaweir_core::{
    flow::Endpoint,
    mirror::StoreResponse,
    prelude::*,
    steer::{Directory, RequestKind, TargetEntry},
};
use cicadaweir_platform::ready;
use cicadaweird::steered::{StoreClient, StoreError, Timeouts, decode_change};
use serde::Serialize;
use serde_json::{Value, json};
use ureq::Agent;

use crate::report::Report;

/// The timeout of a request to an entry VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of a deployment cannot be reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The store did not answer, or its answer is invalid.
    Store(StoreError),
    /// The configuration has no route with this address.
    NoRoute(Endpoint),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(err) => write!(f, "cannot read the store: {err}"),
            Self::NoRoute(address) => write!(f, "the configuration has no route {address}"),
        }
    }
}

impl std::error::Error for Error {}

/// The state of an entry VM, from its metrics and readiness check.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct EntryState {
    /// Whether it reports that it is ready for packets.
    pub ready: bool,
    /// The version of the configuration in force.
    pub version: f64,
    /// The number of flows in its flow table.
    pub flows: f64,
    /// The number of targets that it suspects of failure.
    pub suspected: f64,
}

/// An entry VM with its state.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Entry {
    /// The address of its metrics endpoint.
    pub address: SocketAddr,
    /// The state; `None` if it did not answer.
    pub state: Option<EntryState>,
}

/// Reads all routes and targets from the store.
///
/// # Errors
///
/// [`Error::Store`] if a page of keys cannot be read.
pub fn read(store: SocketAddr) -> Result<Directory, Error> {
    let client = StoreClient::new(store, Timeouts::default());
    let mut directory = Directory::default();
    let mut after = None;
    loop {
        let page = client.range("", after.as_deref(), false);
        let mut page = page.map_err(Error::Store)?;
        let StoreResponse::Page {
            items, has_more, ..
        } = page.response
        else {
            return Ok(directory);
        };
        for item in &items {
            let value = item.value.as_deref().unwrap_or_default();
            if let Some(change) = decode_change(&item.key, value, &mut page.rejected) {
                directory.apply(Instant::START, change);
            }
        }
        for rejection in &page.rejected {
            rejection.log();
        }
        after = items.last().map(|item| item.key.clone());
        if !has_more || after.is_none() {
            return Ok(directory);
        }
    }
}

/// Requests the state of entry VMs, one after the other.
pub fn entries(addresses: &[SocketAddr]) -> Vec<Entry> {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    let agent: Agent = config.into();
    let entries = addresses.iter().map(|&address| Entry {
        address,
        state: state(&agent, address),
    });
    entries.collect()
}

fn state(agent: &Agent, address: SocketAddr) -> Option<EntryState> {
    let get = |path| agent.get(format!("http://{address}{path}")).call().ok();
    let ready = get(ready::PATH)?.status().as_u16() == 200;
    let text = get("/metrics")?.body_mut().read_to_string().ok()?;
    let metric = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
            .unwrap_or_default()
    };
    Some(EntryState {
        ready,
        version: metric("cicadaweir_config_version"),
        flows: metric("cicadaweir_flows"),
        suspected: metric("cicadaweir_targets{state=\"suspected\"}"),
    })
}

/// Reports routes, targets and entry VMs. If an address is given, reports only its
/// route and the targets of that route's services.
///
/// # Errors
///
/// [`Error::NoRoute`] if no route has the given address.
pub fn report(
    directory: &Directory,
    address: Option<Endpoint>,
    entries: &[Entry],
) -> Result<Report, Error> {
    let version = directory.version();
    let mut lines = vec![format!(
        "configuration {}",
        version.map_or("none".to_owned(), |v| v.to_string())
    )];
    let mut routes = Vec::new();
    let mut services = BTreeMap::new();
    for (route, weighted_services, kind) in directory.routes() {
        if address.is_some_and(|wanted| wanted != *route) {
            continue;
        }
        let service_texts: Vec<String> = weighted_services
            .iter()
            .map(|&(service, weight)| {
                let name = directory.service_name(service);
                services.insert(name, service);
                format!("{name} weight {weight}")
            })
            .collect();
        lines.push(format!(
            "route {route}  {}  {}",
            kind_name(kind),
            service_texts.join(", ")
        ));
        routes.push(json!({
            "address": route.to_string(),
            "kind": kind_name(kind),
            "services": service_texts,
        }));
    }
    if let Some(address) = address.filter(|_| routes.is_empty()) {
        return Err(Error::NoRoute(address));
    }
    let mut targets = Vec::new();
    for (name, service) in services {
        lines.push(format!("service {name}"));
        for &key in directory.service_targets(service) {
            if let Some(entry) = directory.target(key) {
                lines.push(target_line(directory, entry));
                targets.push(target_json(directory, name, entry));
            }
        }
    }
    lines.extend(entries.iter().map(entry_line));
    let json = json!({
        "version": version, "routes": routes, "targets": targets, "entries": entries,
    });
    Ok(Report::new(&lines, json))
}

const fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "at most once",
        RequestKind::Download => "download",
    }
}

fn target_line(directory: &Directory, entry: &TargetEntry) -> String {
    format!(
        "  target {:<16} {:<22} zone {} slots {} {}",
        entry.name,
        entry.address.to_string(),
        directory.zone_name(entry.zone),
        entry.slots,
        if entry.is_eligible() {
            "ready"
        } else {
            "draining"
        },
    )
}

fn target_json(directory: &Directory, service: &str, entry: &TargetEntry) -> Value {
    json!({
        "name": entry.name,
        "service": service,
        "address": entry.address.to_string(),
        "zone": directory.zone_name(entry.zone),
        "slots": entry.slots,
        "takes_flows": entry.is_eligible(),
    })
}

fn entry_line(entry: &Entry) -> String {
    match entry.state {
        None => format!("entry VM {}  no answer", entry.address),
        Some(state) => format!(
            "entry VM {}  {}, version {}, {} flows, {} targets suspected",
            entry.address,
            if state.ready { "ready" } else { "not ready" },
            state.version,
            state.flows,
            state.suspected,
        ),
    }
}
