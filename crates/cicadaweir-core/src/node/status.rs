//! What a node tells operators.

use crate::{
    flow::FlowState,
    hash,
    load::{Mark, Report},
    membership::{Health, Phase},
    placement,
    prelude::*,
    route::{BucketRoute, Decision, Reason},
};

use super::{Node, placing::Arrival};

/// A summary of one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The member.
    pub member: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its phase.
    pub phase: Phase,
    /// Whether it may not choose targets at the moment.
    pub behind: bool,
    /// The newest revision it knows.
    pub known: Revision,
    /// The newest revision in force at it.
    pub in_force: Revision,
    /// The flows it remembers.
    pub flows: usize,
    /// The members it knows, with zone, phase and health.
    pub members: Vec<(MemberId, ZoneId, Phase, Health)>,
    /// The targets.
    pub targets: Vec<TargetStatus>,
}

/// A summary of one target, seen from one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The service's name.
    pub service: String,
    /// The target's name.
    pub target: String,
    /// The availability zone.
    pub zone: ZoneId,
    /// The mark.
    pub mark: Mark,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
    /// Flows to it that this entry VM remembers as open.
    pub flows: usize,
    /// What it last reported, if anything.
    pub report: Option<Report>,
}

/// Why an entry VM would send a flow's next packet where it would.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The bucket of the flow.
    pub bucket: u16,
    /// Whether the bucket is ambiguous here.
    pub ambiguous: bool,
    /// The owner of the bucket.
    pub owner: Option<MemberId>,
    /// The name of the target that new flows of the bucket get.
    pub in_force: String,
    /// The name of the target that unrecorded flows of the bucket have.
    pub base: String,
    /// The remembered state and target of the flow, if any.
    pub remembered: Option<(FlowState, String)>,
    /// Where a packet in the middle of the flow would go.
    pub decision: Decision,
}

impl Node {
    /// Summarises this entry VM.
    pub fn status(&self) -> Status {
        let me = self.view.my_record();
        let mut flows = vec![0usize; self.targets.len()];
        for entry in self.flows.iter() {
            if entry.state != FlowState::Closed {
                flows[entry.target.0 as usize] += 1;
            }
        }
        Status {
            member: me.id,
            zone: me.zone,
            phase: me.phase,
            behind: self.behind_since.is_some(),
            known: self.agreement.known(),
            in_force: self.agreement.agreed(),
            flows: self.flows.len(),
            members: self
                .view
                .iter()
                .map(|m| (m.record.id, m.record.zone, m.record.phase, m.record.health))
                .collect(),
            targets: self
                .catalog
                .targets()
                .map(|(key, _)| self.target_status(key, flows[key.0 as usize]))
                .collect(),
        }
    }

    fn target_status(&self, key: TargetKey, flows: usize) -> TargetStatus {
        let target = self.catalog.target(key);
        let load = self.targets[key.0 as usize].admission.last_report();
        TargetStatus {
            service: self.catalog.service(target.service).name.clone(),
            target: target.spec.name.clone(),
            zone: target.spec.zone,
            mark: target.mark,
            withdrawn: target.withdrawn,
            flows,
            report: load.map(|l| Report {
                open: l.open,
                pending: l.pending,
                completed: 0,
                draining: false,
            }),
        }
    }

    /// Explains where a flow's next packet would go, without changing
    /// anything; `None` if no service has the address.
    pub fn explain(&self, flow: &FlowKey) -> Option<Explanation> {
        let (address, service) = self.catalog.lookup(flow)?;
        let hash = hash::flow(&self.hash_key, flow);
        let arrival = Arrival {
            address,
            service,
            hash,
            bucket: placement::bucket(hash),
        };
        let agreed = self.agreement.agreed();
        let bucket_route = BucketRoute::new(
            self.catalog.service(service),
            arrival.bucket,
            agreed,
            |slot| self.slots.owner(slot),
        );
        let name = |t: TargetKey| self.catalog.target(t).spec.name.clone();
        let entry = self.flows.get(hash, &flow.caller, address);
        Some(Explanation {
            bucket: arrival.bucket,
            ambiguous: bucket_route.ambiguous,
            owner: bucket_route.owner,
            in_force: name(bucket_route.in_force),
            base: name(bucket_route.base),
            remembered: entry.map(|e| (e.state, name(e.target))),
            decision: self.explain_decision(&arrival, &bucket_route, entry.map(|e| e.target)),
        })
    }

    fn explain_decision(
        &self,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
        remembered: Option<TargetKey>,
    ) -> Decision {
        if let Some(target) = remembered {
            return Decision::Target(target, Reason::Remembered);
        }
        if let Some(target) = self.recovery.handed_over(arrival.hash) {
            return Decision::Target(target, Reason::HandedOver);
        }
        match bucket_route.owner {
            _ if self.behind_since.is_some() => Decision::Error(ErrorKind::Behind),
            _ if !bucket_route.ambiguous => {
                Decision::Target(bucket_route.base, Reason::Unambiguous)
            }
            Some(owner) if owner != self.view.me() => Decision::Owner(owner),
            _ if self.recovery.is_incomplete(bucket_route.slot) => Decision::Ask,
            _ => Decision::Target(bucket_route.base, Reason::Base),
        }
    }
}
