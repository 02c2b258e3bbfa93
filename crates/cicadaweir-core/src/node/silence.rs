//! Detection of open TCP flows whose target is silent.
//!
//! An entry VM sees only a sample of a flow's packets, so a missing answer on one
//! entry VM proves nothing. It suspects a flow whose caller has retransmitted one
//! segment (the same sequence number twice) for [`MIN_RETRANSMISSION_TIME`], and
//! then queries the other members. It resets the flow towards its caller only if
//! all of these hold:
//!
//! - No member has seen a packet from the target within
//!   [`super::Options::silence_timeout`], nor since that segment.
//! - A member of another zone, if there is one, has seen unanswered data too.
//!   Otherwise this zone's own path to the target may be cut.
//! - The target answers new openings.
//! - No member failed recently. Such a member might have seen the target, or the
//!   target might be partitioned together with that member's zone.
//!
//! A live target acknowledges a segment at once, however long its response takes.
//! An idle flow, whose caller sends nothing, is never reset.

use indexmap::IndexSet;

use crate::{
    flow::{FlowState, FlowTable, Protocol},
    message::{FlowRecord, Message},
    prelude::*,
};

use super::Node;

/// The number of flow table positions that one tick scans.
const SCAN_WINDOW: usize = 1_024;

/// How long a flow stays suspected while members have not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller must have retransmitted one segment before its flow is
/// suspected.
const MIN_RETRANSMISSION_TIME: Duration = Duration::from_secs(2);

/// How long a flow stays marked for a reset.
const RESET_MARK_TTL: Duration = Duration::from_secs(60);

/// The time within which a target must have answered a new opening.
const OPENING_ANSWER_WINDOW: Duration = Duration::from_secs(10);

/// A flow whose target may be silent, while other members are queried.
#[derive(Debug, Clone)]
pub(super) struct SuspectedFlow {
    target: TargetKey,
    /// When the caller first sent the unanswered segment.
    unanswered_since: Instant,
    /// Whether a member of another zone has seen unanswered data too; initially
    /// true if there is no other zone.
    confirmed: bool,
    /// The queried members that have not answered yet.
    outstanding: IndexSet<MemberId>,
    suspected_at: Instant,
}

impl Node {
    /// Expires flow table entries, suspected flows and reset marks, and scans one
    /// window of the flow table for silent targets.
    pub(super) fn tick_flows(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.flows.sweep(now, SCAN_WINDOW, |_| ());
        self.lookups
            .suspected_flows
            .retain(|_, s| now.since(s.suspected_at) < ANSWER_TIMEOUT);
        self.lookups
            .to_reset
            .retain(|_, (_, at)| now.since(*at) < RESET_MARK_TTL);
        if self.member_failed_recently(now) {
            return;
        }
        let positions = self.flows.positions();
        let start = self.scan_start(now, positions);
        let silence_timeout = self.options.silence_timeout;
        let found: Vec<(u64, Protocol, TargetKey, Instant)> = self
            .flows
            .window(start, SCAN_WINDOW)
            .filter(|e| e.state == FlowState::Established)
            .filter_map(|e| {
                let retransmitting = FlowTable::retransmitting_for(e, now)?;
                if retransmitting < MIN_RETRANSMISSION_TIME
                    || FlowTable::target_silence(e, now) < silence_timeout
                {
                    return None;
                }
                let protocol = self.catalog.address(e.address())?.protocol;
                Some((e.flow_hash(), protocol, e.target, now - retransmitting))
            })
            .collect();
        for (hash, protocol, target, unanswered_since) in found {
            if protocol == Protocol::Tcp {
                self.suspect(now, hash, target, unanswered_since, out);
            }
        }
    }

    /// Returns the position at which this tick's scan starts. Successive ticks
    /// scan successive windows of the flow table.
    fn scan_start(&self, now: Instant, positions: usize) -> usize {
        let windows = positions.div_ceil(SCAN_WINDOW).max(1);
        let tick = now.as_micros() / super::TICK_INTERVAL.as_micros();
        (tick as usize % windows) * SCAN_WINDOW
    }

    /// Queries the other members about a flow whose target may be silent.
    fn suspect(
        &mut self,
        now: Instant,
        hash: u64,
        target: TargetKey,
        unanswered_since: Instant,
        out: &mut Vec<Action>,
    ) {
        let lookups = &self.lookups;
        if lookups.suspected_flows.contains_key(&hash) || lookups.to_reset.contains_key(&hash) {
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
        let no_peers = outstanding.is_empty();
        let suspected = SuspectedFlow {
            target,
            unanswered_since,
            confirmed: !self.has_other_zones(),
            outstanding,
            suspected_at: now,
        };
        self.lookups.suspected_flows.insert(hash, suspected);
        if no_peers {
            self.reset_silent(now, hash, out);
        }
    }

    /// Processes a member's answer about a suspected flow. The flow is no longer
    /// suspected if that member has seen the target. It is reset once all members
    /// have answered and its silence is confirmed.
    pub(super) fn update_suspected_flow(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        record: Option<FlowRecord>,
        out: &mut Vec<Action>,
    ) {
        let other_zone = self.is_in_other_zone(from);
        let Some(suspected) = self.lookups.suspected_flows.get_mut(&flow_hash) else {
            return;
        };
        suspected.confirmed |= other_zone && record.is_some_and(|r| r.unanswered);
        let silent_for = now
            .since(suspected.unanswered_since)
            .max(self.options.silence_timeout);
        let same_target = |r: &FlowRecord| r.target == suspected.target;
        if record
            .filter(same_target)
            .is_some_and(|r| r.target_silence < silent_for)
        {
            self.lookups.suspected_flows.swap_remove(&flow_hash);
            self.record_target_alive(now, flow_hash);
            return;
        }
        suspected.outstanding.swap_remove(&from);
        if suspected.outstanding.is_empty() && !suspected.confirmed {
            self.lookups.suspected_flows.swap_remove(&flow_hash);
        } else if suspected.outstanding.is_empty() {
            self.reset_silent(now, flow_hash, out);
        }
    }

    /// Returns whether a member is in another zone than this one.
    fn is_in_other_zone(&self, id: MemberId) -> bool {
        let own_zone = self.view.my_record().zone;
        self.view.get(id).is_some_and(|m| m.record.zone != own_zone)
    }

    /// Returns whether any reachable member is in another zone.
    fn has_other_zones(&self) -> bool {
        self.view
            .peers()
            .any(|m| self.is_in_other_zone(m.record.id))
    }

    /// Records in the flow table that another member has seen the target, which
    /// restarts the detection.
    fn record_target_alive(&mut self, now: Instant, flow_hash: u64) {
        if let Some(entry) = self.flows.get_by_hash_mut(flow_hash) {
            FlowTable::record_target_alive(entry, now);
        }
    }

    /// Marks a flow for a reset on all members. Its caller's next packet is then
    /// answered by a reset with valid sequence numbers, whichever member it
    /// reaches.
    fn reset_silent(&mut self, now: Instant, flow_hash: u64, out: &mut Vec<Action>) {
        let Some(suspected) = self.lookups.suspected_flows.swap_remove(&flow_hash) else {
            return;
        };
        let target = suspected.target;
        self.mark_for_reset(now, flow_hash, target);
        self.counters.resets += 1;
        for to in self.lookup_peers() {
            self.send(to, Message::TargetUnresponsive { flow_hash, target }, out);
        }
    }

    /// Marks a flow for a reset on this member.
    pub(super) fn mark_for_reset(&mut self, now: Instant, flow_hash: u64, target: TargetKey) {
        self.lookups.to_reset.insert(flow_hash, (target, now));
    }

    /// Returns whether a packet's flow is marked for a reset. An opening starts a
    /// new flow on the same port and clears the mark.
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
