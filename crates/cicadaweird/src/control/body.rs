//! JSON bodies of the control endpoint's responses.

use cicadaweir_core::{
    membership::{Health, Phase},
    node::{Explanation, Status, TargetStatus},
    route::Decision,
};
use serde::{Deserialize, Serialize};

/// A summary of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The member number of the entry VM.
    pub member: u32,
    /// Its availability zone.
    pub zone: u16,
    /// Its phase: `joining`, `active`, `leaving` or `left`.
    pub phase: String,
    /// Whether its view may be stale, so that it must not choose targets for
    /// new flows.
    pub behind: bool,
    /// The newest revision in its catalog.
    pub known: u64,
    /// The newest revision that it has in force.
    pub in_force: u64,
    /// The number of flows in its flow table.
    pub flows: usize,
    /// The members in its membership view.
    pub members: Vec<MemberBody>,
    /// The targets in its catalog.
    pub targets: Vec<TargetBody>,
    /// Counter values by name.
    pub counters: indexmap::IndexMap<String, u64>,
}

/// One member, as seen by the entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// The member number.
    pub id: u32,
    /// The availability zone.
    pub zone: u16,
    /// The phase: `joining`, `active`, `leaving` or `left`.
    pub phase: String,
    /// The health: `alive`, `suspect` or `dead`.
    pub health: String,
}

/// One target, as seen by the entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetBody {
    /// The service's name.
    pub service: String,
    /// The target's name.
    pub target: String,
    /// The availability zone.
    pub zone: u16,
    /// The load mark: `normal`, `settled`, `ramping`, `hot` or `down`.
    pub mark: String,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
    /// The number of open flows to it in the entry VM's flow table.
    pub flows: usize,
    /// Open connections in the target's last load report; `None` before the
    /// first report.
    pub reported_open: Option<u32>,
}

/// The routing decision for a flow's next packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainBody {
    /// The member number of the entry VM.
    pub member: u32,
    /// The bucket that the flow hashes to.
    pub bucket: u16,
    /// Whether the bucket's flows may be on different targets: live generations
    /// disagree on the target, or a load mark makes new flows deviate.
    pub ambiguous: bool,
    /// The member that owns the bucket, if any.
    pub owner: Option<u32>,
    /// The target of the bucket's new flows.
    pub in_force: String,
    /// The target of the bucket's flows that no flow table has an entry for.
    pub base: String,
    /// The flow's state and target as `STATE on TARGET`, if the flow table has
    /// an entry.
    pub remembered: Option<String>,
    /// The destination: a target's name, an owner, the other entry VMs, or
    /// nowhere.
    pub goes_to: String,
    /// The reason for the destination.
    pub reason: String,
}

/// Returns the name of a phase in bodies.
pub const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Joining => "joining",
        Phase::Active => "active",
        Phase::Leaving => "leaving",
        Phase::Left => "left",
    }
}

const fn health_name(health: Health) -> &'static str {
    match health {
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
    }
}

impl StatusBody {
    /// Creates the body from the core's status and counter values.
    pub fn new(status: &Status, counters: indexmap::IndexMap<String, u64>) -> Self {
        let members = status.members.iter();
        Self {
            member: status.member.0,
            zone: status.zone.0,
            phase: phase_name(status.phase).to_owned(),
            behind: status.behind,
            known: status.known.0,
            in_force: status.in_force.0,
            flows: status.flows,
            members: members
                .map(|&(id, zone, phase, health)| MemberBody {
                    id: id.0,
                    zone: zone.0,
                    phase: phase_name(phase).to_owned(),
                    health: health_name(health).to_owned(),
                })
                .collect(),
            targets: status.targets.iter().map(TargetBody::from).collect(),
            counters,
        }
    }
}

impl From<&TargetStatus> for TargetBody {
    fn from(status: &TargetStatus) -> Self {
        Self {
            service: status.service.clone(),
            target: status.target.clone(),
            zone: status.zone.0,
            mark: format!("{:?}", status.mark).to_lowercase(),
            withdrawn: status.withdrawn,
            flows: status.flows,
            reported_open: status.report.map(|r| r.open),
        }
    }
}

impl ExplainBody {
    /// Creates the body from the core's explanation; `name` returns the name of
    /// a target.
    pub fn new(
        member: u32,
        explanation: &Explanation,
        name: impl Fn(cicadaweir_core::catalog::TargetKey) -> String,
    ) -> Self {
        let (goes_to, reason) = match explanation.decision {
            Decision::Target(target, reason) => (name(target), reason.name().to_owned()),
            Decision::Owner(id) => (format!("entry VM {id}"), "owner".to_owned()),
            Decision::Ask => ("the other entry VMs".to_owned(), "ask".to_owned()),
            Decision::Error(kind) => ("nowhere".to_owned(), kind.to_string()),
        };
        let remembered = explanation.remembered.as_ref();
        Self {
            member,
            bucket: explanation.bucket,
            ambiguous: explanation.ambiguous,
            owner: explanation.owner.map(|id| id.0),
            in_force: explanation.in_force.clone(),
            base: explanation.base.clone(),
            remembered: remembered.map(|(state, target)| format!("{state:?} on {target}")),
            goes_to,
            reason,
        }
    }
}
