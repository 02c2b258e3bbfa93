//! A target with slots and a short queue.

use std::collections::VecDeque;

/// What a target does with an opening or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reception {
    /// The opening is accepted, or the request waits in the queue.
    Accepted,
    /// The request starts.
    Started,
    /// The opening is refused, or the request rejected.
    Refused,
}

/// The state of one target.
#[derive(Debug, Default)]
pub(super) struct Target {
    /// Flows that were accepted and have not ended.
    pub flows: usize,
    /// Requests in progress.
    pub running: usize,
    /// Attempts whose requests wait.
    pub queue: VecDeque<usize>,
}

impl Target {
    /// Receives an opening; `max_flows` may be open.
    pub(super) fn open(&mut self, max_flows: usize) -> Reception {
        if self.flows >= max_flows {
            return Reception::Refused;
        }
        self.flows += 1;
        Reception::Accepted
    }

    /// Receives the request of an attempt.
    pub(super) fn request(&mut self, attempt: usize, slots: usize, queue: usize) -> Reception {
        if self.running < slots {
            self.running += 1;
            Reception::Started
        } else if self.queue.len() < queue {
            self.queue.push_back(attempt);
            Reception::Accepted
        } else {
            Reception::Refused
        }
    }

    /// Ends a flow.
    pub(super) fn close(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }
}
