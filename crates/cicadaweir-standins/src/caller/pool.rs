//! Many callers that share one fabric.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{fabric::Fabric, segment::Segment};

use super::{CallerFlow, FlowPlan, Tally};

/// The number of request identities reserved for each flow.
const IDENTITIES_PER_FLOW: u64 = 1 << 20;

/// The flows of many callers, driven by the thread that calls [`poll`](Self::poll).
#[derive(Debug)]
pub struct CallerPool {
    /// The fabric that carries the packets of all flows.
    pub fabric: Fabric,
    /// The results of all flows.
    pub tally: Tally,
    flows: IndexMap<(SocketAddr, SocketAddr), CallerFlow>,
    opened: u64,
    out: Vec<Segment>,
    last_tick: Instant,
}

impl CallerPool {
    /// Creates a pool without flows.
    pub fn new(fabric: Fabric) -> Self {
        Self {
            fabric,
            tally: Tally::default(),
            flows: IndexMap::new(),
            opened: 0,
            out: Vec::new(),
            last_tick: Instant::now(),
        }
    }

    /// Opens a flow and sends its first packet.
    pub fn open(&mut self, plan: FlowPlan) {
        let key = (plan.caller, plan.address);
        let identity_base = self.opened * IDENTITIES_PER_FLOW;
        self.opened += 1;
        let flow = CallerFlow::open(plan, identity_base, Instant::now(), &mut self.out);
        self.flows.insert(key, flow);
        self.flush();
    }

    /// Returns all flows, including those that have ended and were not removed.
    pub fn flows(&self) -> impl Iterator<Item = &CallerFlow> {
        self.flows.values()
    }

    /// Removes flows that have ended.
    pub fn remove_ended(&mut self) {
        self.flows.retain(|_, f| f.end().is_none());
    }

    /// Polls all flows for the given duration.
    pub fn run_for(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.poll();
        }
    }

    /// Handles received packets, then sends due requests and retransmissions.
    /// Packet handling stops after a tick interval, so that a burst does not delay
    /// the timers.
    pub fn poll(&mut self) {
        while let Some((received_at, segment)) = self.fabric.receive() {
            let key = (segment.destination, segment.source);
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.handle_segment(received_at, &segment, &mut self.tally);
            }
            if self.last_tick.elapsed() > TICK_INTERVAL {
                break;
            }
        }
        let now = Instant::now();
        self.last_tick = now;
        for flow in self.flows.values_mut() {
            flow.tick(now, &mut self.tally, &mut self.out);
        }
        self.flush();
    }

    /// Closes all flows and sends their closing segments.
    pub fn close(&mut self) {
        for flow in self.flows.values_mut() {
            self.out.extend(flow.close());
        }
        self.flush();
    }

    fn flush(&mut self) {
        let mut out = std::mem::take(&mut self.out);
        for segment in out.drain(..) {
            self.fabric.send(&segment);
        }
        self.out = out;
    }
}

/// The maximum time that received packets are handled before timers run.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
