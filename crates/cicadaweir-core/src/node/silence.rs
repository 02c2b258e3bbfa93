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
const SCAN_WINDOW: usize = 1_024;

/// How long the others may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller has repeated one segment before its flow is suspected.
const MIN_RETRANSMISSION_TIME: Duration = Duration::from_secs(2);

/// How long a silent flow is remembered as such.
const RESET_MARK_TTL: Duration = Duration::from_secs(60);

/// How lately a target must have answered a new opening.
const OPENING_ANSWER_WINDOW: Duration = Duration::from_secs(10);

/// A flow that seems silent.
#[derive(Debug, Clone)]
pub(super) struct Suspicion {
    target: TargetKey,
    /// When the caller first sent what is unanswered.
    unanswered_since: Instant,
    /// Whether a member of another zone has seen unanswered data too.
    confirmed: bool,
    outstanding: IndexSet<MemberId>,
    since: Instant,
}

impl Node {
    pub(super) fn tick_flows(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.flows.sweep(now, SCAN_WINDOW, |_| ());
        self.lookups
            .suspicions
            .retain(|_, s| now.since(s.since) < ANSWER_TIMEOUT);
        self.lookups
            .to_reset
            .retain(|_, (_, at)| now.since(*at) < RESET_MARK_TTL);
        if self.member_failed_recently(now) {
            return;
        }
        let positions = self.flows.positions();
        let start = self.scan_start(now, positions);
        let silence = self.options.silence_timeout;
        let found: Vec<(u64, Protocol, TargetKey, Instant)> = self
            .flows
            .window(start, SCAN_WINDOW)
            .filter(|e| e.state == FlowState::Established)
            .filter_map(|e| {
                let waited = FlowTable::repeated_for(e, now)?;
                if waited < MIN_RETRANSMISSION_TIME || FlowTable::target_silence(e, now) < silence {
                    return None;
                }
                let protocol = self.catalog.address(e.address())?.protocol;
                Some((e.flow_hash(), protocol, e.target, now - waited))
            })
            .collect();
        for (hash, protocol, target, unanswered_since) in found {
            if protocol == Protocol::Tcp {
                self.suspect(now, hash, target, unanswered_since, out);
            }
        }
    }

    /// Walks the table window by window, one a tick.
    fn scan_start(&self, now: Instant, positions: usize) -> usize {
        let windows = positions.div_ceil(SCAN_WINDOW).max(1);
        let tick = now.as_micros() / super::TICK_INTERVAL.as_micros();
        (tick as usize % windows) * SCAN_WINDOW
    }

    fn suspect(
        &mut self,
        now: Instant,
        hash: u64,
        target: TargetKey,
        unanswered_since: Instant,
        out: &mut Vec<Action>,
    ) {
        let lookups = &self.lookups;
        if lookups.suspicions.contains_key(&hash) || lookups.to_reset.contains_key(&hash) {
            return;
        }
        if !self.answered_opening_within(now, target, OPENING_ANSWER_WINDOW) {
            return;
        }
        let outstanding = self.lookup_peers();
        if !outstanding.is_empty() && !self.try_spend_lookup_budget(now, outstanding.len()) {
            return;
        }
        self.send_lookups(&outstanding, hash, out);
        let alone = outstanding.is_empty();
        let suspicion = Suspicion {
            target,
            unanswered_since,
            confirmed: !self.has_other_zones(),
            outstanding,
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
        let elsewhere = self.is_in_other_zone(from);
        let Some(suspicion) = self.lookups.suspicions.get_mut(&flow_hash) else {
            return;
        };
        suspicion.confirmed |= elsewhere && memory.is_some_and(|m| m.unanswered);
        let since = now
            .since(suspicion.unanswered_since)
            .max(self.options.silence_timeout);
        let same = |m: &FlowMemory| m.target == suspicion.target;
        if memory
            .filter(same)
            .is_some_and(|m| m.target_silence < since)
        {
            self.lookups.suspicions.swap_remove(&flow_hash);
            self.record_target_alive(now, flow_hash);
            return;
        }
        suspicion.outstanding.swap_remove(&from);
        if suspicion.outstanding.is_empty() && !suspicion.confirmed {
            self.lookups.suspicions.swap_remove(&flow_hash);
        } else if suspicion.outstanding.is_empty() {
            self.reset_silent(now, flow_hash, out);
        }
    }

    fn is_in_other_zone(&self, id: MemberId) -> bool {
        let mine = self.view.my_record().zone;
        self.view.get(id).is_some_and(|m| m.record.zone != mine)
    }

    fn has_other_zones(&self) -> bool {
        self.view
            .peers()
            .any(|m| self.is_in_other_zone(m.record.id))
    }

    /// Another member has seen the target: the count starts again.
    fn record_target_alive(&mut self, now: Instant, flow_hash: u64) {
        if let Some(entry) = self.flows.get_by_hash_mut(flow_hash) {
            FlowTable::excuse(entry, now);
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
        self.mark_for_reset(now, flow_hash, target);
        self.counters.resets += 1;
        for to in self.lookup_peers() {
            self.send(to, Message::Broken { flow_hash, target }, out);
        }
    }

    pub(super) fn mark_for_reset(&mut self, now: Instant, flow_hash: u64, target: TargetKey) {
        self.lookups.to_reset.insert(flow_hash, (target, now));
    }

    /// Returns whether a flow's target went silent; a new opening on the same
    /// port starts afresh.
    pub(super) fn must_reset(&mut self, info: &PacketInfo, hash: u64) -> bool {
        if self.lookups.to_reset.is_empty() || !self.lookups.to_reset.contains_key(&hash) {
            return false;
        }
        if info.kind == PacketKind::Opening {
            self.lookups.to_reset.swap_remove(&hash);
            return false;
        }
        true
    }
}
