//! Recording one node's events and actions.

use cicadaweir_core::{hash::HashKey, membership::MemberUpdate, node::Node, prelude::*};
use cicadaweir_proto::trace::{EventRecord, Start, Step, describe};

/// The lines of a trace so far.
#[derive(Debug)]
pub(super) struct Recorder {
    lines: Vec<String>,
    /// Ticks without actions that are not written yet, and the last one's time.
    ticks: u32,
    last_tick: u64,
}

impl Recorder {
    pub fn new(key: &HashKey, me: &MemberUpdate) -> Self {
        Self {
            lines: vec![line(&Start::new(key, me))],
            ticks: 0,
            last_tick: 0,
        }
    }

    pub fn record(&mut self, now: Instant, event: EventRecord, node: &Node, actions: &[Action]) {
        let at = now.as_micros();
        let actions: Vec<String> = actions.iter().map(|a| describe(node, a)).collect();
        let is_tick = matches!(event, EventRecord::Ticks(_));
        let regular = at == self.last_tick + cicadaweir_core::node::TICK_INTERVAL.as_micros();
        if !is_tick || (self.ticks > 0 && !regular) {
            self.flush();
        }
        if is_tick {
            self.ticks += 1;
            self.last_tick = at;
            if actions.is_empty() {
                return;
            }
            let event = EventRecord::Ticks(std::mem::take(&mut self.ticks));
            return self.lines.push(line(&Step { at, event, actions }));
        }
        self.lines.push(line(&Step { at, event, actions }));
    }

    fn flush(&mut self) {
        if self.ticks > 0 {
            let step = Step {
                at: self.last_tick,
                event: EventRecord::Ticks(std::mem::take(&mut self.ticks)),
                actions: Vec::new(),
            };
            self.lines.push(line(&step));
        }
    }

    pub fn finish(mut self) -> Vec<String> {
        self.flush();
        self.lines
    }
}

fn line(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("a line of a trace has a JSON form")
}
