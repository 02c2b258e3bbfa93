//! Recording of one node's events and actions as a trace.

use cicadaweir_core::{hash::HashKey, membership::MemberUpdate, node::Node, prelude::*};
use cicadaweir_proto::trace::{EventRecord, Start, Step, describe};

/// A trace under construction. Consecutive ticks without actions are merged
/// into one line.
#[derive(Debug)]
pub(super) struct Recorder {
    lines: Vec<String>,
    /// Ticks that have not been written yet.
    pending_ticks: u32,
    /// The time of the latest tick, in microseconds.
    last_tick: u64,
}

impl Recorder {
    pub fn new(key: &HashKey, me: &MemberUpdate) -> Self {
        Self {
            lines: vec![to_json(&Start::new(key, me))],
            pending_ticks: 0,
            last_tick: 0,
        }
    }

    pub fn record(&mut self, now: Instant, event: EventRecord, node: &Node, actions: &[Action]) {
        let at = now.as_micros();
        let actions: Vec<String> = actions.iter().map(|a| describe(node, a)).collect();
        let is_tick = matches!(event, EventRecord::Ticks(_));
        let regular = at == self.last_tick + cicadaweir_core::node::TICK_INTERVAL.as_micros();
        if !is_tick || (self.pending_ticks > 0 && !regular) {
            self.flush();
        }
        if is_tick {
            self.pending_ticks += 1;
            self.last_tick = at;
            if actions.is_empty() {
                return;
            }
            let event = EventRecord::Ticks(std::mem::take(&mut self.pending_ticks));
            return self.lines.push(to_json(&Step { at, event, actions }));
        }
        self.lines.push(to_json(&Step { at, event, actions }));
    }

    fn flush(&mut self) {
        if self.pending_ticks > 0 {
            let step = Step {
                at: self.last_tick,
                event: EventRecord::Ticks(std::mem::take(&mut self.pending_ticks)),
                actions: Vec::new(),
            };
            self.lines.push(to_json(&step));
        }
    }

    pub fn into_lines(mut self) -> Vec<String> {
        self.flush();
        self.lines
    }
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("a trace line can be serialized to JSON")
}
