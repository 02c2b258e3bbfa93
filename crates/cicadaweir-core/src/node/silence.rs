//! Open flows whose target went silent.
//!
//! An entry VM sees only a sample of a flow's packets, so that its own count
//! of unanswered data proves nothing. It asks the others, and resets the flow
//! towards its caller only if none has seen the target for
//! [`super::Options::silence`] while the target answers new openings. A quiet
//! flow whose caller sends nothing is never touched.

use indexmap::IndexSet;

use crate::{
    flow::{FlowEntry, FlowFlags, FlowState, FlowTable, Protocol},
    message::FlowMemory,
    prelude::*,
};

use super::Node;

/// Unanswered data packets, seen here, that raise a suspicion.
const UNANSWERED: u16 = 2;

/// Positions of the flow table that one tick examines.
const WALK: usize = 4_096;

/// How long the others may take to answer.
const PATIENCE: Duration = Duration::from_millis(500);

/// How lately a target must have answered a new opening.
const ANSWERS_OPENINGS: Duration = Duration::from_secs(10);

/// A flow that seems silent.
#[derive(Debug)]
pub(super) struct Suspicion {
    target: TargetKey,
    asked: IndexSet<MemberId>,
    since: Instant,
}

impl Node {
    pub(super) fn tick_flows(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.flows.sweep(now, WALK, |_| ());
        self.lookups
            .suspicions
            .retain(|_, s| now.since(s.since) < PATIENCE);
        let positions = self.flows.positions();
        let start = self.random_start(now, positions);
        let silence = self.options.silence;
        let found: Vec<(u64, FlowKey, TargetKey)> = self
            .flows
            .window(start, WALK)
            .filter(|e| seems_silent(e, now, silence))
            .filter_map(|e| Some((e.flow_hash(), self.flow_key(e)?, e.target)))
            .collect();
        for (hash, flow, target) in found {
            self.suspect(now, hash, flow, target, out);
        }
    }

    /// Walks the table window by window, one a tick.
    fn random_start(&self, now: Instant, positions: usize) -> usize {
        let windows = positions.div_ceil(WALK).max(1);
        let tick = now.as_micros() / super::TICK.as_micros();
        (tick as usize % windows) * WALK
    }

    fn flow_key(&self, entry: &FlowEntry) -> Option<FlowKey> {
        let address = self.catalog.address(entry.address())?;
        Some(FlowKey {
            protocol: address.protocol,
            caller: entry.caller(),
            address: address.endpoint,
        })
    }

    fn suspect(
        &mut self,
        now: Instant,
        hash: u64,
        flow: FlowKey,
        target: TargetKey,
        out: &mut Vec<Action>,
    ) {
        if flow.protocol != Protocol::Tcp || self.lookups.suspicions.contains_key(&hash) {
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
            asked,
            since: now,
        };
        self.lookups.suspicions.insert(hash, suspicion);
        if alone {
            self.reset_silent(hash);
        }
    }

    pub(super) fn suspicion_answered(
        &mut self,
        now: Instant,
        from: MemberId,
        flow_hash: u64,
        memory: Option<FlowMemory>,
    ) {
        let silence = self.options.silence;
        let Some(suspicion) = self.lookups.suspicions.get_mut(&flow_hash) else {
            return;
        };
        let same = |m: &FlowMemory| m.target == suspicion.target;
        if memory
            .filter(same)
            .is_some_and(|m| m.target_silence < silence)
        {
            self.lookups.suspicions.swap_remove(&flow_hash);
            self.excuse(now, flow_hash);
            return;
        }
        suspicion.asked.swap_remove(&from);
        if suspicion.asked.is_empty() {
            self.reset_silent(flow_hash);
        }
    }

    /// Another member has seen the target: the count starts again.
    fn excuse(&mut self, now: Instant, flow_hash: u64) {
        if let Some(entry) = self.flows.get_by_hash_mut(flow_hash) {
            FlowTable::excuse(entry, now);
        }
    }

    /// Marks the flow, so that its caller's next packet is answered by a
    /// reset that carries the right numbers.
    fn reset_silent(&mut self, flow_hash: u64) {
        if self.lookups.suspicions.swap_remove(&flow_hash).is_none() {
            return;
        }
        if let Some(entry) = self.flows.get_by_hash_mut(flow_hash) {
            entry.flags.insert(FlowFlags::BROKEN);
            entry.state = FlowState::HalfClosed;
            self.counters.resets += 1;
        }
    }
}

fn seems_silent(entry: &FlowEntry, now: Instant, silence: Duration) -> bool {
    entry.state == FlowState::Established
        && entry.unanswered >= UNANSWERED
        && FlowTable::target_silence(entry, now) >= silence
}
