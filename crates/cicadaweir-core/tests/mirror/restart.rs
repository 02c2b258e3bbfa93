//! All entry VMs start at once while the store turns some of them away. Each one that
//! reaches the store has a change in time, whatever the others do. Real mirrors,
//! relays and source selectors in virtual time, with redirects between them.

use std::net::SocketAddr;

use cicadaweir_core::{
    flow::Endpoint,
    mirror::{
        Admittance, Answer, Call, ChangeRequest, Item, Mirror, Options, Relay, Requester, Role,
        Selection, Source, SourceSelector, StoreResponse,
    },
    time::{Duration, Instant},
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The time in milliseconds within which a change must take effect.
const DEADLINE_MS: u64 = 3_000;

/// The latency of a response in milliseconds.
const LATENCY_MS: u64 = 10;

/// The time in milliseconds that a call may take beyond its wait, as in the
/// daemon.
const WATCH_GRACE_MS: u64 = 500;

/// The largest number of entry VMs queried in one chain of redirects, as in the
/// daemon.
const MAX_HOPS: u32 = 4;

/// How old a stale read of the store is, in milliseconds.
const STALE_MS: u64 = 3_000;

/// The duration of one simulation step in milliseconds.
const STEP_MS: u64 = 10;

/// The number of seeds, which are the first nodes, one in each zone.
const SEEDS: usize = 3;

/// The names of the zones, to which nodes belong in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The interval in milliseconds between two changes of the store.
const CHANGE_INTERVAL_MS: u64 = 700;

/// A call in flight.
#[derive(Debug, Clone)]
struct InFlight {
    source: Source,
    call: Call,
    sent_at: u64,
    wait: u64,
    /// The node that is asked, for a peer.
    peer: usize,
    hops: u32,
    /// The request, once the node that is asked has accepted it.
    accepted: Option<ChangeRequest>,
}

struct Node {
    mirror: Mirror,
    sources: SourceSelector,
    /// For each other seed, the node to ask: the seed, or where it redirected to.
    peers: Vec<usize>,
    seeds: Vec<usize>,
    relay: Relay,
    in_flight: Option<InFlight>,
    idle_until: u64,
    is_refused: bool,
}

struct Simulation {
    now: u64,
    nodes: Vec<Node>,
    /// When the store stops changing.
    last_change_ms: u64,
}

fn ms(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn address(node: usize) -> Endpoint {
    Endpoint::from(SocketAddr::from(([10, 0, 0, node as u8], 8_166)))
}

fn node_at(address: Endpoint) -> usize {
    usize::from(SocketAddr::from(address).port() != 0) * usize::from(address.ip[15])
}

impl Node {
    fn new(number: usize, random: u64) -> Self {
        let seeds: Vec<usize> = (0..SEEDS).filter(|&seed| seed != number).collect();
        let role = if number < SEEDS {
            Role::Seed { leaders: number }
        } else {
            Role::Follower
        };
        Self {
            mirror: Mirror::new(Options::default(), random),
            sources: SourceSelector::new(role, seeds.len(), random),
            peers: seeds.clone(),
            seeds,
            relay: Relay::new(ZONES[number % ZONES.len()], Options::default()),
            in_flight: None,
            idle_until: random % 300,
            is_refused: false,
        }
    }
}

impl Simulation {
    /// Creates `count` nodes, of which the store turns away a random third.
    fn new(seed: u64, count: usize, last_change_ms: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut nodes: Vec<Node> = (0..count).map(|n| Node::new(n, rng.next_u64())).collect();
        for _ in 0..count / 3 {
            let at = rng.next_u64() as usize % count;
            nodes[at].is_refused = true;
        }
        Self {
            now: 0,
            nodes,
            last_change_ms,
        }
    }

    /// Returns the store's revision at a time.
    fn revision(&self, at: u64) -> u64 {
        1 + at.min(self.last_change_ms) / CHANGE_INTERVAL_MS
    }

    fn store_response(&self, in_flight: &InFlight, waited: u64) -> Option<StoreResponse> {
        let item = |revision: u64| Item {
            key: "routes".to_owned(),
            value: Some(revision.to_be_bytes().to_vec().into()),
            revision,
        };
        let as_of = self.revision(self.now);
        match in_flight.call {
            Call::Watch { after, .. } if after < as_of => Some(StoreResponse::Events {
                items: vec![item(as_of)],
                as_of,
            }),
            Call::Watch { .. } if waited < in_flight.wait => None,
            Call::Watch { .. } => Some(StoreResponse::Events {
                items: Vec::new(),
                as_of,
            }),
            Call::Range { stale, .. } => {
                let age = if stale { STALE_MS } else { 0 };
                let as_of = self.revision(self.now.saturating_sub(age));
                Some(StoreResponse::Page {
                    items: vec![item(as_of)],
                    has_more: false,
                    as_of,
                })
            }
            Call::Backoff(_) => Some(StoreResponse::Failed),
        }
    }

    /// Returns the outcome of a call and when the store confirmed it; `None` while
    /// it is in flight. A redirect changes `in_flight`.
    fn outcome(
        &mut self,
        n: usize,
        in_flight: &mut InFlight,
    ) -> Option<Result<(StoreResponse, u64), ()>> {
        let waited = self.now - in_flight.sent_at;
        if waited < LATENCY_MS {
            return None;
        }
        if in_flight.source == Source::Store {
            if self.nodes[n].is_refused {
                return Some(Err(()));
            }
            let response = self.store_response(in_flight, waited)?;
            return Some(Ok((response, self.now)));
        }
        if waited >= in_flight.wait + WATCH_GRACE_MS {
            return Some(Err(()));
        }
        let now = ms(self.now);
        let Call::Watch { after, .. } = in_flight.call else {
            let all = self.nodes[in_flight.peer].relay.all(now);
            let confirmed = |age: Duration| self.now.saturating_sub(age.as_millis());
            return Some(all.map(|(all, age)| (all, confirmed(age))).ok_or(()));
        };
        if in_flight.accepted.is_none() {
            let requester = Requester {
                from: Some(address(n)),
                zone: ZONES[n % ZONES.len()],
                is_seed: n < SEEDS,
            };
            match self.nodes[in_flight.peer].relay.admit(now, requester) {
                Admittance::Accepted => {
                    in_flight.accepted = Some(ChangeRequest {
                        revision: after,
                        deadline: ms(in_flight.sent_at + in_flight.wait),
                        confirmed_at: self.nodes[in_flight.peer].relay.confirmed_at(),
                    });
                }
                Admittance::Refused => return Some(Err(())),
                Admittance::Redirected(to) => {
                    in_flight.peer = node_at(to);
                    in_flight.hops += 1;
                    in_flight.sent_at = self.now;
                    let is_lost = in_flight.peer == n || in_flight.hops >= MAX_HOPS;
                    return is_lost.then_some(Err(()));
                }
            }
        }
        let request = in_flight.accepted?;
        match self.nodes[in_flight.peer].relay.answer(now, &request) {
            Answer::Wait => None,
            Answer::Unavailable => Some(Err(())),
            Answer::Compacted => Some(Ok((StoreResponse::Compacted, self.now))),
            Answer::Changes(response, age) => Some(self.usable(Some((response, age)))),
        }
    }

    fn usable(
        &self,
        served: Option<(StoreResponse, Duration)>,
    ) -> Result<(StoreResponse, u64), ()> {
        match served {
            Some((response, age)) if age <= Options::default().max_view_age => {
                Ok((response, self.now.saturating_sub(age.as_millis())))
            }
            _ => Err(()),
        }
    }

    fn step(&mut self, n: usize) {
        if self.now < self.nodes[n].idle_until {
            return;
        }
        let now = ms(self.now);
        if let Some(mut in_flight) = self.nodes[n].in_flight.take() {
            match self.outcome(n, &mut in_flight) {
                None => self.nodes[n].in_flight = Some(in_flight),
                Some(outcome) => self.complete_call(n, &in_flight, outcome),
            }
            return;
        }
        let node = &mut self.nodes[n];
        let call = node.mirror.next_call(now);
        if let Call::Backoff(span) = call {
            node.idle_until = self.now + span.as_millis();
            return node.mirror.end_backoff();
        }
        let bulk = matches!(call, Call::Range { .. });
        match node.sources.select(now, bulk) {
            Selection::Wait(span) => node.idle_until = self.now + span.as_millis().max(1),
            Selection::Query(source) => {
                let may_wait = node.sources.is_current(source);
                let wait = match call {
                    Call::Watch { wait, .. } if source == Source::Store => {
                        wait.min(Options::default().store_watch_wait).as_millis()
                    }
                    Call::Watch { wait, .. } if may_wait => wait.as_millis(),
                    _ => 0,
                };
                let peer = match source {
                    Source::Peer(at) => node.peers[at],
                    Source::Store => n,
                };
                node.in_flight = Some(InFlight {
                    source,
                    call,
                    sent_at: self.now,
                    wait,
                    peer,
                    hops: 0,
                    accepted: None,
                });
            }
        }
    }

    fn complete_call(
        &mut self,
        n: usize,
        in_flight: &InFlight,
        outcome: Result<(StoreResponse, u64), ()>,
    ) {
        let now = ms(self.now);
        let node = &mut self.nodes[n];
        let source = in_flight.source;
        let source_lost = node.sources.record_result(now, source, outcome.is_ok());
        let serves_seeds = node.sources.can_serve_seeds();
        node.relay.set_serves_seeds(serves_seeds);
        let mut updates = Vec::new();
        match outcome {
            Ok((response, confirmed_at)) => {
                if let Source::Peer(at) = source {
                    node.peers[at] = in_flight.peer;
                }
                let is_stale = matches!(in_flight.call, Call::Range { stale: true, .. })
                    && source == Source::Store;
                let age = now.since(ms(confirmed_at));
                let is_stale = is_stale || age > Options::default().max_view_age;
                node.relay.record(&response, ms(confirmed_at), is_stale);
                node.mirror.handle_response(now, response, &mut updates);
            }
            Err(()) => {
                if let Source::Peer(at) = source {
                    node.peers[at] = node.seeds[at];
                }
                if source == Source::Store && !node.sources.has_available_peer(now) {
                    node.mirror
                        .handle_response(now, StoreResponse::Failed, &mut updates);
                }
                if source_lost {
                    node.relay.mark_unavailable();
                }
            }
        }
    }

    /// Runs until the deadline of the last change; returns the nodes that reach the
    /// store and have not received it.
    fn late_nodes(mut self) -> Vec<usize> {
        let end = self.last_change_ms + DEADLINE_MS;
        let last = self.revision(self.last_change_ms);
        while self.now < end {
            for n in 0..self.nodes.len() {
                self.step(n);
            }
            self.now += STEP_MS;
        }
        let nodes = self.nodes.iter().enumerate();
        let late = nodes.filter(|(_, node)| !node.is_refused && node.mirror.revision() < last);
        late.map(|(n, _)| n).collect()
    }
}

// Regression: on klin-booth-grown scale-2 entry VMs that had just started were
// redirected to one another, and each took what the others had read at the start
// for recent; a draining target got openings for longer than it serves.
#[test]
fn a_change_arrives_in_time_when_all_start_and_the_store_turns_some_away() {
    let mut late = Vec::new();
    for seed in 0..120 {
        for count in [9, 61] {
            let last_change_ms = CHANGE_INTERVAL_MS * (1 + seed % 8);
            let found = Simulation::new(seed, count, last_change_ms).late_nodes();
            if !found.is_empty() {
                late.push((seed, count, found.len()));
            }
        }
    }
    assert!(
        late.is_empty(),
        "{} of 240 runs (seed, nodes, late nodes): {late:?}",
        late.len()
    );
}
