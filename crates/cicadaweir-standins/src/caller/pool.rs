//! Many callers behind one fabric.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{fabric::Fabric, segment::Segment};

use super::{CallerFlow, FlowPlan, Tally};

/// Identities that each flow has for its requests.
const IDENTITIES: u64 = 1 << 20;

/// Many callers' flows, driven by one thread.
#[derive(Debug)]
pub struct CallerPool {
    /// The fabric that carries their packets.
    pub fabric: Fabric,
    /// What they saw.
    pub tally: Tally,
    flows: IndexMap<(SocketAddr, SocketAddr), CallerFlow>,
    opened: u64,
    out: Vec<Segment>,
    last_tick: Instant,
}

impl CallerPool {
    /// Makes an empty pool.
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

    /// Opens a flow.
    pub fn open(&mut self, plan: FlowPlan) {
        let key = (plan.caller, plan.address);
        let identity_base = self.opened * IDENTITIES;
        self.opened += 1;
        let flow = CallerFlow::open(plan, identity_base, Instant::now(), &mut self.out);
        self.flows.insert(key, flow);
        self.flush();
    }

    /// Returns the flows.
    pub fn flows(&self) -> impl Iterator<Item = &CallerFlow> {
        self.flows.values()
    }

    /// Forgets flows that have ended.
    pub fn forget_ended(&mut self) {
        self.flows.retain(|_, f| f.end().is_none());
    }

    /// Runs for a while.
    pub fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.poll();
        }
    }

    /// Takes the packets that are there and lets time pass.
    pub fn poll(&mut self) {
        while let Some((at, segment)) = self.fabric.receive() {
            let key = (segment.destination, segment.source);
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.packet(at, &segment, &mut self.tally);
            }
            if self.last_tick.elapsed() > TICK {
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

    /// Closes all flows.
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

/// The time between two looks at every flow.
const TICK: Duration = Duration::from_millis(5);
