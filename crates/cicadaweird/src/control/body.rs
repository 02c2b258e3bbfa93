//! The bodies of answers, in JSON.

use cicadaweir_core::{
    membership::{Health, Phase},
    node::{Explanation, Status, TargetStatus},
    route::Decision,
};
use serde::{Deserialize, Serialize};

/// A summary of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The number of the entry VM.
    pub member: u32,
    /// Its availability zone.
    pub zone: u16,
    /// Its phase.
    pub phase: String,
    /// Whether it may not choose targets at the moment.
    pub behind: bool,
    /// The newest revision it knows.
    pub known: u64,
    /// The newest revision in force at it.
    pub in_force: u64,
    /// The flows it remembers.
    pub flows: usize,
    /// The members it knows.
    pub members: Vec<MemberBody>,
    /// The targets.
    pub targets: Vec<TargetBody>,
    /// Counts, by name.
    pub counters: indexmap::IndexMap<String, u64>,
}

/// One member, seen from the entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// The number.
    pub id: u32,
    /// The availability zone.
    pub zone: u16,
    /// The phase.
    pub phase: String,
    /// Whether it answers.
    pub health: String,
}

/// One target, seen from the entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetBody {
    /// The service's name.
    pub service: String,
    /// The target's name.
    pub target: String,
    /// The availability zone.
    pub zone: u16,
    /// The mark.
    pub mark: String,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
    /// Open flows that the entry VM remembers.
    pub flows: usize,
    /// Connections that the target last reported.
    pub reported_open: Option<u32>,
}

/// Where a flow's next packet would go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainBody {
    /// The number of the entry VM.
    pub member: u32,
    /// The bucket.
    pub bucket: u16,
    /// Whether the bucket is ambiguous there.
    pub ambiguous: bool,
    /// The owner of the bucket.
    pub owner: Option<u32>,
    /// The target of new flows.
    pub in_force: String,
    /// The target of unrecorded flows.
    pub base: String,
    /// The remembered state and target, if any.
    pub remembered: Option<String>,
    /// Where the packet would go.
    pub goes_to: String,
    /// Why.
    pub reason: String,
}

/// Returns a phase's name.
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
    /// Makes the body from a core summary and counts.
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
    /// Makes the body from a core explanation; `name` gives targets' names.
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
