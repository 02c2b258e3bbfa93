//! Sending exceptions to members that fetch them, within a bandwidth limit.

use indexmap::IndexSet;

use crate::{
    flow::{FlowEntry, FlowState},
    membership::slot_of,
    message::{FlowException, Message},
    placement,
    prelude::*,
};

use super::Node;

/// The maximum number of exceptions in one message.
const MAX_EXCEPTIONS_PER_MESSAGE: usize = 80;

/// The wire size of one exception, in bytes.
const EXCEPTION_BYTES: u32 = 16;

/// The number of flow table positions that a transfer scans per tick.
const SCAN_WINDOW: usize = 16_384;

/// Exceptions that are being sent to one member.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    pub to: MemberId,
    pub take_over: bool,
    pub slots: IndexSet<u16>,
    /// The next position of the flow table to scan.
    pub flow_position: usize,
    /// The next fetched exception to pass on.
    pub exception_position: usize,
    /// Exceptions that were found and not yet sent.
    pub pending: Vec<FlowException>,
}

impl Node {
    /// Refills the bandwidth budget, up to one second's worth.
    pub(super) fn refill_budget(&mut self, now: Instant) {
        let rate = f64::from(self.options.exception_bytes_per_sec);
        let gained = rate * now.since(self.recovery.budget_refilled_at).as_secs_f64();
        self.recovery.budget = (self.recovery.budget + gained).min(rate);
        self.recovery.budget_refilled_at = now;
    }

    /// Starts sending the exceptions of some slots; replaces a running transfer
    /// of the same kind to the same member.
    pub(super) fn start_transfer(&mut self, to: MemberId, slots: Vec<u16>, take_over: bool) {
        let same = |t: &Transfer| t.to == to && t.take_over == take_over;
        self.recovery.transfers.retain(|t| !same(t));
        self.recovery.transfers.push(Transfer {
            to,
            take_over,
            slots: slots.into_iter().collect(),
            flow_position: 0,
            exception_position: 0,
            pending: Vec::new(),
        });
    }

    /// Sends at most one message if the budget allows it; returns whether the
    /// transfer has ended.
    pub(super) fn advance_transfer(
        &mut self,
        transfer: &mut Transfer,
        out: &mut Vec<Action>,
    ) -> bool {
        let complete = self.collect_exceptions(transfer);
        let due = transfer.pending.len() >= MAX_EXCEPTIONS_PER_MESSAGE || complete;
        if !due || self.recovery.budget < 0.0 {
            return false;
        }
        let count = transfer.pending.len().min(MAX_EXCEPTIONS_PER_MESSAGE);
        let flows: Vec<FlowException> = transfer.pending.drain(..count).collect();
        let last = complete && transfer.pending.is_empty();
        self.recovery.budget -= f64::from(EXCEPTION_BYTES * flows.len() as u32);
        let take_over = transfer.take_over;
        let exceptions = Message::Exceptions {
            flows,
            last,
            take_over,
        };
        self.send(transfer.to, exceptions, out);
        if last {
            self.recovery.served_members.insert(transfer.to);
        }
        if last && take_over {
            let taken = (transfer.to, self.last_tick);
            let slots = transfer.slots.iter();
            self.recovery
                .taken_slots
                .extend(slots.map(|&slot| (slot, taken)));
        }
        last
    }

    /// Scans the next window of the flow table, and after its end the fetched
    /// exceptions; returns whether everything has been scanned.
    pub(super) fn collect_exceptions(&self, transfer: &mut Transfer) -> bool {
        if transfer.pending.len() >= MAX_EXCEPTIONS_PER_MESSAGE {
            return false;
        }
        let window = self.flows.window(transfer.flow_position, SCAN_WINDOW);
        let found = window.filter_map(|e| self.exception(e, &transfer.slots));
        transfer.pending.extend(found);
        transfer.flow_position += SCAN_WINDOW;
        if transfer.flow_position < self.flows.positions() {
            return false;
        }
        let exceptions = &self.recovery.exceptions;
        let remaining = exceptions.iter().skip(transfer.exception_position);
        let found = remaining
            .filter(|&(&hash, &target)| {
                let slot = self.slot_of_flow(hash, target);
                transfer.slots.contains(&slot)
            })
            .map(|(&flow_hash, &target)| FlowException { flow_hash, target });
        transfer.pending.extend(found);
        transfer.exception_position = exceptions.len();
        true
    }

    /// Returns the slot of a flow, by its hash and the service of its target.
    pub(super) fn slot_of_flow(&self, flow_hash: u64, target: TargetKey) -> u16 {
        let service = self.catalog.target(target).service;
        let seed = self.catalog.service(service).seed;
        slot_of(seed, placement::bucket(flow_hash))
    }

    /// Returns a flow as an exception if it is open, on another target than the
    /// base generation's, and in one of the slots.
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
