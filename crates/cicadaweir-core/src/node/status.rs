//! Status and explanations for operators.

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
    /// The member's id.
    pub member: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its phase.
    pub phase: Phase,
    /// Whether its state may be stale, so that it places no flows.
    pub behind: bool,
    /// The newest revision that it has received.
    pub known: Revision,
    /// The newest revision in force on it.
    pub in_force: Revision,
    /// The number of flows in its flow table.
    pub flows: usize,
    /// The members that it knows, with zone, phase and health.
    pub members: Vec<(MemberId, ZoneId, Phase, Health)>,
    /// All targets of its catalog.
    pub targets: Vec<TargetStatus>,
}

/// A summary of one target as known to one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The service's name.
    pub service: String,
    /// The target's name.
    pub target: String,
    /// The availability zone.
    pub zone: ZoneId,
    /// The effective mark.
    pub mark: Mark,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
    /// The number of flows to it in the flow table that are not closed.
    pub flows: usize,
    /// Its last load report; absent before the first.
    pub report: Option<Report>,
}

/// Where an entry VM would send a flow's next packet, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The bucket of the flow.
    pub bucket: u16,
    /// Whether the bucket is ambiguous on this entry VM.
    pub ambiguous: bool,
    /// The owner of the bucket; absent if no member owns buckets.
    pub owner: Option<MemberId>,
    /// The name of the target for new flows of the bucket.
    pub in_force: String,
    /// The name of the target of flows of the bucket that no member has recorded.
    pub base: String,
    /// The flow's state and target, if it is in the flow table.
    pub remembered: Option<(FlowState, String)>,
    /// Where a packet in the middle of the flow would go.
    pub decision: Decision,
}

impl Node {
    /// Returns a summary of this entry VM.
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
            behind: self.stale_since.is_some(),
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

    /// Explains where a flow's next packet would go, without changing any
    /// state; `None` if no service has the flow's address.
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

    /// Returns the decision for a packet in the middle of a flow.
    fn explain_decision(
        &self,
        arrival: &Arrival,
        bucket_route: &BucketRoute,
        remembered: Option<TargetKey>,
    ) -> Decision {
        if let Some(target) = remembered {
            return Decision::Target(target, Reason::Remembered);
        }
        if let Some(target) = self.recovery.fetched_target(arrival.hash) {
            return Decision::Target(target, Reason::HandedOver);
        }
        match bucket_route.owner {
            _ if self.stale_since.is_some() => Decision::Error(ErrorKind::StateStale),
            _ if !bucket_route.ambiguous => {
                Decision::Target(bucket_route.base, Reason::Unambiguous)
            }
            Some(owner) if owner != self.view.me() => Decision::Owner(owner),
            _ if self.recovery.is_incomplete(bucket_route.slot) => Decision::Ask,
            _ => Decision::Target(bucket_route.base, Reason::Base),
        }
    }
}
