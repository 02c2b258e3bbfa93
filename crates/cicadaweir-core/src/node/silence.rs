//! Open flows whose target went silent.
//!
//! An entry VM sees only a sample of a flow's packets, so that the lack of an
//! answer here proves nothing. It suspects a flow whose caller has repeated
//! one segment (the same sequence number twice) for [`REPEATING`]; it then
//! asks the others, and resets the flow towards its caller only if none has
//! seen the target for [`super::Options::silence_timeout`], nor since that segment, and
//! a member of another zone has seen unanswered data too (or else this zone's
//! own way to the target may be cut),
//! while the target answers new openings and no member is missing that might
//! have seen it, or whose zone the target might be cut off with. A live target acknowledges a segment
//! at once, however long its answer takes. A quiet flow whose caller sends
//! nothing is never touched.

use indexmap::IndexSet;

use crate::{
    flow::{FlowState, FlowTable, Protocol},
    message::{FlowMemory, Message},
    prelude::*,
};

use super::Node;

/// Positions of the flow table that one tick examines.
const WALK: usize = 1_024;

/// How long the others may take to answer.
const PATIENCE: Duration = Duration::from_millis(500);

/// How long a caller has repeated one segment before its flow is suspected.
const REPEATING: Duration = Duration::from_secs(2);

/// How long a silent flow is remembered as such.
const BROKEN_KEPT: Duration = Duration::from_secs(60);

/// How lately a target must have answered a new opening.
const ANSWERS_OPENINGS: Duration = Duration::from_secs(10);

/// A flow that seems silent.
#[derive(Debug, Clone)]
pub(super) struct Suspicion {
    target: TargetKey,
    /// When the caller first sent what is unanswered.
    sent: Instant,
    /// Whether a member of another zone has seen unanswered data too.
    confirmed: bool,
    asked: IndexSet<MemberId>,
    since: Instant,
}

impl Node {
    pub(super) fn tick_flows(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.flows.sweep(now, WALK, |_| ());
        self.lookups
            .suspicions
            .retain(|_, s| now.since(s.since) < PATIENCE);
        self.lookups
            .broken
            .retain(|_, (_, at)| now.since(*at) < BROKEN_KEPT);
        if self.member_is_missing(now) {
            return;
        }
        let positions = self.flows.positions();
        let start = self.random_start(now, positions);
        let silence = self.options.silence_timeout;
        let found: Vec<(u64, Protocol, TargetKey, Instant)> = self
            .flows
            .window(start, WALK)
            .filter(|e| e.state == FlowState::Established)
            .filter_map(|e| {
                let waited = FlowTable::retransmitting_for(e, now)?;
                if waited < REPEATING || FlowTable::target_silence(e, now) < silence {
                    return None;
                }
                let protocol = self.catalog.address(e.address())?.protocol;
                Some((e.flow_hash(), protocol, e.target, now - waited))
            })
            .collect();
        for (hash, protocol, target, sent) in found {
            if protocol == Protocol::Tcp {
                self.suspect(now, hash, target, sent, out);
            }
        }
    }

    /// Walks the table window by window, one a tick.
    fn random_start(&self, now: Instant, positions: usize) -> usize {
        let windows = positions.div_ceil(WALK).max(1);
        let tick = now.as_micros() / super::TICK_INTERVAL.as_micros();
        (tick as usize % windows) * WALK
    }

    fn suspect(
        &mut self,
        now: Instant,
        hash: u64,
        target: TargetKey,
        sent: Instant,
        out: &mut Vec<Action>,
    ) {
        let lookups = &self.lookups;
        if lookups.suspicions.contains_key(&hash) || lookups.broken.contains_key(&hash) {
            return;
        }
        if !self.answers_openings(now, target, ANSWERS_OPENINGS) {
            return;
        }
        let asked = self.witnesses();
        if !asked.is_empty() && !self.spend_lookup(now, asked.len()) {
            return;
        }
        self.send_lookups(&asked, hash, out);
        let alone = asked.is_empty();
        let suspicion = Suspicion {
            target,
            sent,
            confirmed: !self.has_other_zones(),
            asked,
            since: now,
        };
        self.lookups.suspicions.insert(hash, suspicion);
        if alone {
            self.reset_silent(now, hash, out);
        }
    }

    pub(super) fn suspicion_answered(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        memory: Option<FlowMemory>,
        out: &mut Vec<Action>,
    ) {
        let elsewhere = self.is_of_another_zone(from);
        let Some(suspicion) = self.lookups.suspicions.get_mut(&flow_hash) else {
            return;
        };
        suspicion.confirmed |= elsewhere && memory.is_some_and(|m| m.unanswered);
        let since = now.since(suspicion.sent).max(self.options.silence_timeout);
        let same = |m: &FlowMemory| m.target == suspicion.target;
        if memory
            .filter(same)
            .is_some_and(|m| m.target_silence < since)
        {
            self.lookups.suspicions.swap_remove(&flow_hash);
            self.record_target_alive(now, flow_hash);
            return;
        }
        suspicion.asked.swap_remove(&from);
        if suspicion.asked.is_empty() && !suspicion.confirmed {
            self.lookups.suspicions.swap_remove(&flow_hash);
        } else if suspicion.asked.is_empty() {
            self.reset_silent(now, flow_hash, out);
        }
    }

    fn is_of_another_zone(&self, id: MemberId) -> bool {
        let mine = self.view.my_record().zone;
        self.view.get(id).is_some_and(|m| m.record.zone != mine)
    }

    fn has_other_zones(&self) -> bool {
        self.view
            .peers()
            .any(|m| self.is_of_another_zone(m.record.id))
    }

    /// Another member has seen the target: the count starts again.
    fn record_target_alive(&mut self, now: Instant, flow_hash: u64) {
        if let Some(entry) = self.flows.get_by_hash_mut(flow_hash) {
            FlowTable::record_target_alive(entry, now);
        }
    }

    /// Marks the flow here and at the others, so that its caller's next
    /// packet is answered by a reset that carries the right numbers, wherever
    /// it arrives.
    fn reset_silent(&mut self, now: Instant, flow_hash: u64, out: &mut Vec<Action>) {
        let Some(suspicion) = self.lookups.suspicions.swap_remove(&flow_hash) else {
            return;
        };
        let target = suspicion.target;
        self.mark_broken(now, flow_hash, target);
        self.counters.resets += 1;
        for to in self.witnesses() {
            self.send(to, Message::Broken { flow_hash, target }, out);
        }
    }

    pub(super) fn mark_broken(&mut self, now: Instant, flow_hash: u64, target: TargetKey) {
        self.lookups.broken.insert(flow_hash, (target, now));
    }

    /// Returns whether a flow's target went silent; a new opening on the same
    /// port starts afresh.
    pub(super) fn is_broken(&mut self, info: &PacketInfo, hash: u64) -> bool {
        if self.lookups.broken.is_empty() || !self.lookups.broken.contains_key(&hash) {
            return false;
        }
        if info.kind == PacketKind::Opening {
            self.lookups.broken.swap_remove(&hash);
            return false;
        }
        true
    }
}
