//! Replay of a trace through a node.

use std::net::SocketAddr;

use cicadaweir_core::{
    hash::HashKey,
    membership::{Health, MemberUpdate, Phase},
    node::{self, Node, Options},
    packet::PacketKind,
    prelude::*,
};
use indexmap::IndexMap;

use super::{EventRecord, Start, Step, TraceError, format_flow};

/// The counts of a replay.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// The number of replayed lines; a line of several ticks counts once.
    pub events: usize,
    /// The number of forwarded packets.
    pub forwarded: usize,
    /// The number of flows whose packets were forwarded or answered.
    pub flows: usize,
}

/// Returns the text of an action in a trace: targets by name, members by number.
pub fn describe(node: &Node, action: &Action) -> String {
    match action {
        Action::Forward { target, .. } => {
            format!("forward {}", node.catalog().target(*target).spec.name)
        }
        Action::Relay { to, header, .. } => format!("relay {to} hop {}", header.hops),
        Action::ToCaller { .. } => "to caller".to_owned(),
        Action::Buffer { .. } => "hold".to_owned(),
        Action::Discard { kind, .. } => format!("discard {kind}"),
        Action::Refuse { kind, .. } => format!("refuse {kind}"),
        Action::ResetCaller { .. } => "reset caller".to_owned(),
        Action::Send { to, message } => format!("send {to} {}", message.kind().name()),
        Action::ProbeTarget { target } => {
            format!("probe {}", node.catalog().target(*target).spec.name)
        }
        Action::WatchStore { on } => format!("watch {on}"),
        Action::InForce { revision } => format!("in force {revision}"),
        Action::EnteredPhase { phase } => format!("phase {phase:?}").to_lowercase(),
    }
}

/// Replays a trace and compares every action with the recorded one.
///
/// Also checks that all packets of a flow are forwarded to the same target until the
/// flow is opened again or reset. If a target answers for the flow, further packets
/// must be forwarded to that target.
///
/// # Errors
///
/// [`TraceError`] for the first line that is invalid, whose actions differ from the
/// recorded ones, or that forwards a packet to another target of its flow.
pub fn replay(text: &str) -> Result<Outcome, TraceError> {
    let mut lines = (1..).zip(text.lines());
    let (_, first) = lines.next().ok_or(TraceError::Line {
        line: 1,
        reason: "the trace is empty".to_owned(),
    })?;
    let mut replayer = Replayer::new(&parse(1, first)?)?;
    for (line, text) in lines {
        let step: Step = parse(line, text)?;
        replayer.step(line, &step)?;
    }
    replayer.outcome.flows = replayer.targets.len();
    Ok(replayer.outcome)
}

fn parse<T: serde::de::DeserializeOwned>(line: usize, text: &str) -> Result<T, TraceError> {
    serde_json::from_str(text).map_err(|err| TraceError::Line {
        line,
        reason: err.to_string(),
    })
}

struct Replayer {
    node: Node,
    outcome: Outcome,
    /// The name of the target of each flow.
    targets: IndexMap<String, String>,
}

impl Replayer {
    fn new(start: &Start) -> Result<Self, TraceError> {
        let invalid = || TraceError::Line {
            line: 1,
            reason: format!(
                "hash_key {:?}: expected 32 hexadecimal digits",
                start.hash_key
            ),
        };
        let key = u128::from_str_radix(&start.hash_key, 16).map_err(|_| invalid())?;
        let me = MemberUpdate {
            id: MemberId(start.member),
            incarnation: start.incarnation,
            phase: Phase::Joining,
            health: Health::Alive,
            zone: ZoneId(start.zone),
            address: start.peer.into(),
        };
        let key = HashKey(key.to_be_bytes());
        Ok(Self {
            node: Node::new(Options::default(), key, me, Instant::START),
            outcome: Outcome::default(),
            targets: IndexMap::new(),
        })
    }

    fn step(&mut self, line: usize, step: &Step) -> Result<(), TraceError> {
        let invalid = |reason| TraceError::Line { line, reason };
        let mut at = Instant::from_micros(step.at);
        let mut out = Vec::new();
        let mut actual = Vec::new();
        if let EventRecord::Ticks(count) = step.event {
            let earlier_ticks = node::TICK_INTERVAL.times(u64::from(count.saturating_sub(1)));
            at = at - earlier_ticks;
            for _ in 0..count {
                self.node.handle(at, Event::Tick, &mut out);
                actual.extend(out.drain(..).map(|a| describe(&self.node, &a)));
                at += node::TICK_INTERVAL;
            }
        } else {
            let event = step.event.to_event().map_err(invalid)?;
            self.node.handle(at, event.clone(), &mut out);
            actual.extend(out.iter().map(|a| describe(&self.node, a)));
            self.check_flow(line, &event, &actual)?;
        }
        self.outcome.events += 1;
        if actual != step.actions {
            return Err(TraceError::Diverged {
                line,
                event: format!("{:?}", step.event),
                expected: step.actions.clone(),
                actual,
            });
        }
        Ok(())
    }

    /// Checks that the packet of an event is forwarded to the target of its flow, and
    /// updates that target.
    fn check_flow(
        &mut self,
        line: usize,
        event: &Event,
        actions: &[String],
    ) -> Result<(), TraceError> {
        if let Event::FromTarget { info, from, .. } = event {
            self.record_answer(info, from);
        }
        let (Event::FromCaller { info, .. } | Event::Relayed { info, .. }) = event else {
            return Ok(());
        };
        let flow = format_flow(&info.flow);
        if matches!(info.kind, PacketKind::Opening | PacketKind::Reset) {
            self.targets.swap_remove(&flow);
        }
        let forwarded = actions.iter().find_map(|a| a.strip_prefix("forward "));
        let Some(to) = forwarded else {
            return Ok(());
        };
        self.outcome.forwarded += 1;
        let from = self.targets.insert(flow.clone(), to.to_owned());
        match from {
            Some(from) if from != to => Err(TraceError::Moved {
                line,
                flow,
                from,
                to: to.to_owned(),
            }),
            _ => Ok(()),
        }
    }
}

impl Replayer {
    /// Records the target that answers for a flow as the flow's target. Before the
    /// answer the node may have forwarded packets to another target.
    fn record_answer(&mut self, info: &PacketInfo, from: &Endpoint) {
        if info.kind == PacketKind::Reset {
            return;
        }
        let mut targets = self.node.catalog().targets();
        let answering = targets.find(|(_, t)| t.spec.endpoint.ip == from.ip);
        if let Some((_, target)) = answering {
            let name = target.spec.name.clone();
            self.targets.insert(format_flow(&info.flow), name);
        }
    }
}

impl Start {
    /// Creates the first line of a trace.
    pub fn new(key: &HashKey, me: &MemberUpdate) -> Self {
        Self {
            member: me.id.0,
            zone: me.zone.0,
            incarnation: me.incarnation,
            hash_key: format!("{:032x}", u128::from_be_bytes(key.0)),
            peer: SocketAddr::from(me.address),
        }
    }
}
