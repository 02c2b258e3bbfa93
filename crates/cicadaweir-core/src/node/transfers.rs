//! Sending exceptions to members that fetch them, within a budget.

use indexmap::IndexSet;

use crate::{
    flow::{FlowEntry, FlowState},
    membership::slot_of,
    message::{FlowException, Message},
    placement,
    prelude::*,
};

use super::Node;

/// The most exceptions in one message.
const MOST_EXCEPTIONS: usize = 80;

/// The size of one exception on the wire, in bytes.
const EXCEPTION_BYTES: u32 = 16;

/// Positions of the flow table that one tick of one transfer examines.
const WALK: usize = 16_384;

/// Exceptions that are being sent to one member.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    pub to: MemberId,
    pub take_over: bool,
    pub slots: IndexSet<u16>,
    pub position: usize,
    pub handed_over: usize,
    pub pending: Vec<FlowException>,
}

impl Node {
    pub(super) fn refill_budget(&mut self, now: Instant) {
        let rate = f64::from(self.options.hand_over_rate);
        let gained = rate * now.since(self.recovery.budget_at).as_secs_f64();
        self.recovery.budget = (self.recovery.budget + gained).min(rate);
        self.recovery.budget_at = now;
    }

    pub(super) fn serve_exceptions(&mut self, to: MemberId, slots: Vec<u16>, take_over: bool) {
        let same = |t: &Transfer| t.to == to && t.take_over == take_over;
        self.recovery.transfers.retain(|t| !same(t));
        self.recovery.transfers.push(Transfer {
            to,
            take_over,
            slots: slots.into_iter().collect(),
            position: 0,
            handed_over: 0,
            pending: Vec::new(),
        });
    }

    /// Sends what the budget allows; returns whether the transfer ended.
    pub(super) fn advance_transfer(
        &mut self,
        transfer: &mut Transfer,
        out: &mut Vec<Action>,
    ) -> bool {
        let walked = self.walk_flows(transfer);
        let due = transfer.pending.len() >= MOST_EXCEPTIONS || walked;
        if !due || self.recovery.budget < 0.0 {
            return false;
        }
        let count = transfer.pending.len().min(MOST_EXCEPTIONS);
        let flows: Vec<FlowException> = transfer.pending.drain(..count).collect();
        let last = walked && transfer.pending.is_empty();
        self.recovery.budget -= f64::from(EXCEPTION_BYTES * flows.len() as u32);
        let take_over = transfer.take_over;
        let exceptions = Message::Exceptions {
            flows,
            last,
            take_over,
        };
        self.send(transfer.to, exceptions, out);
        if last {
            self.recovery.served.insert(transfer.to);
        }
        if last && take_over {
            let taken = (transfer.to, self.last_tick);
            let slots = transfer.slots.iter();
            self.recovery.taken.extend(slots.map(|&slot| (slot, taken)));
        }
        last
    }

    /// Walks a part of what is remembered; returns whether the end is
    /// reached.
    pub(super) fn walk_flows(&self, transfer: &mut Transfer) -> bool {
        if transfer.pending.len() >= MOST_EXCEPTIONS {
            return false;
        }
        let window = self.flows.window(transfer.position, WALK);
        let found = window.filter_map(|e| self.exception(e, &transfer.slots));
        transfer.pending.extend(found);
        transfer.position += WALK;
        if transfer.position < self.flows.positions() {
            return false;
        }
        let handed = &self.recovery.handed;
        let rest = handed.iter().skip(transfer.handed_over);
        let found = rest
            .filter(|&(&hash, &target)| {
                let slot = self.slot_of_flow(hash, target);
                transfer.slots.contains(&slot)
            })
            .map(|(&flow_hash, &target)| FlowException { flow_hash, target });
        transfer.pending.extend(found);
        transfer.handed_over = handed.len();
        true
    }

    pub(super) fn slot_of_flow(&self, flow_hash: u64, target: TargetKey) -> u16 {
        let service = self.catalog.target(target).service;
        let seed = self.catalog.service(service).seed;
        slot_of(seed, placement::bucket(flow_hash))
    }

    /// Returns the exception that a remembered flow is, if it is one.
    pub(super) fn exception(
        &self,
        entry: &FlowEntry,
        slots: &IndexSet<u16>,
    ) -> Option<FlowException> {
        if entry.state == FlowState::Closed {
            return None;
        }
        let bucket = placement::bucket(entry.flow_hash());
        let key = self.catalog.target(entry.target).service;
        let service = self.catalog.service(key);
        let differs = service.base().target(bucket) != entry.target;
        if !differs || !slots.contains(&slot_of(service.seed, bucket)) {
            return None;
        }
        Some(FlowException {
            flow_hash: entry.flow_hash(),
            target: entry.target,
        })
    }
}
