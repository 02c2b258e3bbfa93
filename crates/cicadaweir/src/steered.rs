//! Reading a deployment whose packets name their target.
//!
//! Everything comes from the store, as an entry VM reads it, and from the
//! metrics of the entry VMs that are named; nothing is written.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use cicadaweir_core::{
    flow::Endpoint,
    mirror::StoreResponse,
    prelude::*,
    steer::{Directory, RequestKind, TargetEntry},
};
use cicadaweir_platform::ready;
use cicadaweird::steered::{StoreClient, StoreError, decode_change};
use serde::Serialize;
use serde_json::{Value, json};
use ureq::Agent;

use crate::report::Report;

/// How long an entry VM may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Why a deployment can't be shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The store did not answer, or not sensibly.
    Store(StoreError),
    /// The configuration has no route of this address.
    NoRoute(Endpoint),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(err) => write!(f, "the store can't be read: {err}"),
            Self::NoRoute(address) => write!(f, "the configuration has no route {address}"),
        }
    }
}

impl std::error::Error for Error {}

/// What an entry VM tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct EntryState {
    /// Whether it takes packets.
    pub ready: bool,
    /// The configuration's version in force there.
    pub version: f64,
    /// Flows that it remembers.
    pub flows: f64,
    /// Targets that it suspects.
    pub suspected: f64,
}

/// One entry VM; no state if it did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Entry {
    /// Its metrics address.
    pub address: SocketAddr,
    /// Its state.
    pub state: Option<EntryState>,
}

/// Reads all routes and targets.
///
/// # Errors
///
/// [`Error::Store`] if a page can't be had.
pub fn read(store: SocketAddr) -> Result<Directory, Error> {
    let client = StoreClient::new(store);
    let mut directory = Directory::default();
    let mut after = None;
    loop {
        let page = client.range("", after.as_deref(), false);
        let StoreResponse::Page {
            items, has_more, ..
        } = page.map_err(Error::Store)?
        else {
            return Ok(directory);
        };
        for item in &items {
            let value = item.value.as_deref().unwrap_or_default();
            if let Some(change) = decode_change(&item.key, value) {
                directory.apply(Instant::START, change);
            }
        }
        after = items.last().map(|item| item.key.clone());
        if !has_more || after.is_none() {
            return Ok(directory);
        }
    }
}

/// Asks entry VMs for their state.
pub fn entries(addresses: &[SocketAddr]) -> Vec<Entry> {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build();
    let agent: Agent = config.into();
    let asked = addresses.iter().map(|&address| Entry {
        address,
        state: state(&agent, address),
    });
    asked.collect()
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

/// Reports routes, targets and entry VMs; only one route if an address is given.
///
/// # Errors
///
/// [`Error::NoRoute`] if that address has none.
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
    for (route, parts, kind) in directory.routes() {
        if address.is_some_and(|wanted| wanted != *route) {
            continue;
        }
        let parts: Vec<String> = parts
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
            parts.join(", ")
        ));
        routes.push(json!({
            "address": route.to_string(),
            "kind": kind_name(kind),
            "services": parts,
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
