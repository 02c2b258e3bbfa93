//! Output of the subcommands.

use cicadaweir_core::catalog::{Catalog, ReleaseNote};
use cicadaweir_proto::note::format_address;
use cicadaweird::control::{ExplainBody, StatusBody};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{fleet::InForce, publish::describe};

/// The output of a subcommand, as text and as JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The text output.
    pub text: String,
    /// The JSON output.
    pub json: Value,
}

impl Report {
    /// Creates a report from lines of text and a JSON value.
    pub fn new(lines: &[String], json: impl Serialize) -> Self {
        Self {
            text: lines.join("\n"),
            json: serde_json::to_value(json).unwrap_or(Value::Null),
        }
    }
}

/// Reports the active services and targets of a catalog.
pub fn catalog(catalog: &Catalog) -> Report {
    let mut lines = vec![format!("revision {}", catalog.revision())];
    let mut services = Vec::new();
    for (_, service) in catalog.services().filter(|(_, s)| s.withdrawn.is_none()) {
        let addresses: Vec<String> = service
            .addresses
            .iter()
            .filter_map(|&a| catalog.address(a))
            .map(format_address)
            .collect();
        lines.push(format!("service {}  {}", service.name, addresses.join(" ")));
        let mut targets = Vec::new();
        for &key in service.targets.values() {
            let spec = &catalog.target(key).spec;
            lines.push(format!(
                "  target {:<12} {:<24} zone {} weight {}",
                spec.name, spec.endpoint, spec.zone, spec.weight
            ));
            targets.push(json!({
                "name": spec.name,
                "endpoint": spec.endpoint.to_string(),
                "zone": spec.zone.0,
                "weight": spec.weight,
            }));
        }
        services.push(json!({
            "name": service.name,
            "addresses": addresses,
            "targets": targets,
        }));
    }
    let json = json!({ "revision": catalog.revision().0, "services": services });
    Report::new(&lines, json)
}

/// Reports the changes of release notes.
pub fn notes(notes: &[ReleaseNote]) -> Report {
    let mut lines = Vec::new();
    let mut json = Vec::new();
    for note in notes {
        lines.push(format!("revision {} ({})", note.revision, note.id));
        let changes: Vec<String> = note.changes.iter().map(describe).collect();
        lines.extend(changes.iter().map(|c| format!("  {c}")));
        json.push(json!({ "revision": note.revision.0, "changes": changes }));
    }
    if lines.is_empty() {
        lines.push("no changes".to_owned());
    }
    Report::new(&lines, json)
}

/// Reports the status of all entry VMs.
pub fn status(fleet: &[(std::net::SocketAddr, Option<StatusBody>)]) -> Report {
    let mut lines = vec![format!(
        "{:<8} {:<5} {:<8} {:>6} {:>9} {:>8} {:>8}",
        "entry VM", "zone", "phase", "known", "in force", "members", "flows"
    )];
    for (control, status) in fleet {
        lines.push(match status {
            None => format!("{control} does not answer"),
            Some(s) => format!(
                "{:<8} {:<5} {:<8} {:>6} {:>9} {:>8} {:>8}",
                s.member,
                s.zone,
                s.phase,
                s.known,
                s.in_force,
                s.members.iter().filter(|m| m.health == "alive").count(),
                s.flows
            ),
        });
    }
    let answered: Vec<&StatusBody> = fleet.iter().filter_map(|f| f.1.as_ref()).collect();
    Report::new(&lines, answered)
}

/// Reports all targets, with the load mark that each entry VM gives them. The number
/// of flows and the reported number of open connections are the maximum over all
/// entry VMs.
pub fn targets(fleet: &[(std::net::SocketAddr, Option<StatusBody>)]) -> Report {
    let mut lines = vec![format!(
        "{:<24} {:<5} {:<9} {:>9} {:>9}  marks by entry VM",
        "target", "zone", "state", "flows", "reported"
    )];
    let answered: Vec<&StatusBody> = fleet.iter().filter_map(|f| f.1.as_ref()).collect();
    let count = answered.first().map_or(0, |s| s.targets.len());
    let mut json = Vec::new();
    for index in 0..count {
        let seen: Vec<_> = answered
            .iter()
            .filter_map(|s| s.targets.get(index))
            .collect();
        let Some(first) = seen.first() else {
            continue;
        };
        let max_flows = seen.iter().map(|t| t.flows).max().unwrap_or(0);
        let reported = seen.iter().filter_map(|t| t.reported_open).max();
        let marks: Vec<&str> = seen.iter().map(|t| t.mark.as_str()).collect();
        let state = if first.withdrawn {
            "withdrawn"
        } else {
            "in use"
        };
        let name = format!("{}/{}", first.service, first.target);
        lines.push(format!(
            "{name:<24} {:<5} {state:<9} {max_flows:>9} {:>9}  {}",
            first.zone,
            reported.map_or("-".to_owned(), |r| r.to_string()),
            marks.join(" ")
        ));
        json.push(json!({
            "target": name,
            "zone": first.zone,
            "withdrawn": first.withdrawn,
            "flows": max_flows,
            "reported": reported,
            "marks": marks,
        }));
    }
    Report::new(&lines, json)
}

/// Reports the number of flows in the flow table of each entry VM, and its
/// counters.
pub fn flows(fleet: &[(std::net::SocketAddr, Option<StatusBody>)]) -> Report {
    let mut lines = Vec::new();
    let mut json = Vec::new();
    for status in fleet.iter().filter_map(|f| f.1.as_ref()) {
        lines.push(format!(
            "entry VM {} has {} flows in its flow table",
            status.member, status.flows
        ));
        for (name, count) in &status.counters {
            lines.push(format!("  {name:<28} {count}"));
        }
        json.push(json!({
            "member": status.member,
            "flows": status.flows,
            "counters": status.counters,
        }));
    }
    Report::new(&lines, json)
}

/// Reports where each entry VM would send the next packet of a flow.
pub fn explain(fleet: &[(std::net::SocketAddr, Option<ExplainBody>)]) -> Report {
    let mut lines = Vec::new();
    for (control, explained) in fleet {
        lines.push(match explained {
            None => format!("{control}: no answer, or no service has this address"),
            Some(e) => format!(
                "entry VM {}: to {} ({}); bucket {}{}, owner {}, new flows to {}, flows not in any flow table to {}{}",
                e.member,
                e.goes_to,
                e.reason,
                e.bucket,
                if e.ambiguous { " ambiguous" } else { "" },
                e.owner.map_or("none".to_owned(), |o| o.to_string()),
                e.in_force,
                e.base,
                e.remembered
                    .as_ref()
                    .map_or(String::new(), |r| format!("; flow table entry: {r}"))
            ),
        });
    }
    let answered: Vec<&ExplainBody> = fleet.iter().filter_map(|f| f.1.as_ref()).collect();
    Report::new(&lines, answered)
}

/// Reports on which entry VMs a revision is in force.
pub fn in_force(revision: u64, result: &InForce) -> Report {
    let mut lines = Vec::new();
    for (zone, members) in &result.zones {
        let in_force = members.iter().all(|&(_, r)| r >= revision);
        let listed: Vec<String> = members
            .iter()
            .map(|(member, revision)| format!("{member}:{revision}"))
            .collect();
        let state = if in_force { "in force" } else { "not in force" };
        lines.push(format!("zone {zone}: {state} ({})", listed.join(" ")));
    }
    for control in &result.unreachable {
        lines.push(format!("{control} did not answer"));
    }
    lines.push(format!(
        "revision {revision} is {}in force on all entry VMs that answered, after {} ms",
        if result.everywhere { "" } else { "not " },
        result.waited.as_millis()
    ));
    let json = json!({
        "revision": revision,
        "everywhere": result.everywhere,
        "waited_ms": result.waited.as_millis() as u64,
        "zones": result.zones,
        "silent": result.unreachable,
    });
    Report::new(&lines, json)
}
