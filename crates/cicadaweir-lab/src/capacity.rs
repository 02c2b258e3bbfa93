//! Control-plane work of one daemon, measured at several sizes.
//!
//! Each measurement creates one real node, gives it a fleet, services and
//! targets of the given size, and times the periodic work of a daemon. Slopes
//! come from a least-squares line through the sizes.

mod hand_over;
mod messages;

use std::{hint::black_box, sync::Arc, time::Instant as Clock};

use cicadaweir_core::{
    catalog::{AddressSpec, Change, ReleaseNote, ServiceSpec, TargetSpec},
    flow::Protocol,
    hash::HashKey,
    load::{ProbeResult, Report},
    membership::{Health, MemberUpdate, Phase, TRANSMISSIONS_PER_LOG},
    message::{Gossip, Message},
    node::{self, Node, Options},
    prelude::*,
};
use cicadaweir_proto::codec;

pub use hand_over::{HandOver, hand_over};
pub use messages::{codec_us, http_probe_us};

/// The size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Entry VMs.
    pub members: u32,
    /// Services, each with one address.
    pub services: u32,
    /// Targets, summed over all services.
    pub targets: u32,
}

/// The cost of one daemon's control work at a size.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Cost {
    /// The time of one tick without changes, in microseconds.
    pub tick_us: f64,
    /// The time to answer one probe of a member, in microseconds.
    pub probe_us: f64,
    /// The time to apply one membership change, in microseconds.
    pub view_us: f64,
    /// The time to apply a release note that adds a target, in microseconds.
    pub note_us: f64,
    /// The time until a mark changes after three failed probes, in microseconds.
    pub mark_us: f64,
    /// The time to record one report of a target, in microseconds.
    pub report_us: f64,
    /// The mean number of targets that one daemon probes.
    pub probed_targets: f64,
    /// Bytes sent per second without changes.
    pub idle_bytes_per_sec: f64,
    /// Bytes that one membership change adds at one daemon, over all its
    /// transmissions.
    pub view_change_bytes: f64,
    /// The memory of members, slots and catalog, in bytes.
    pub memory_bytes: f64,
    /// A snapshot of the catalog: the number of its parts, its size in bytes,
    /// and the time that a joining node takes to install it, in milliseconds.
    pub snapshot: (u32, f64, f64),
}

/// The fleet's hash key in the measurements.
const KEY: HashKey = HashKey([9; 16]);

/// The start of the measurements, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_700_000_000_000;

/// A node under measurement.
struct Bench {
    node: Node,
    now: Instant,
    out: Vec<Action>,
    sequence: u32,
    last_incarnation: u64,
    size: Size,
}

fn member(id: u32, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(id),
        incarnation: START_MS + incarnation,
        phase: Phase::Active,
        health: Health::Alive,
        zone: ZoneId((id % 7) as u16),
        address: std::net::SocketAddr::from(([10, 1, (id >> 8) as u8, id as u8], 7070)).into(),
    }
}

fn target(index: u32) -> TargetSpec {
    let ip = [
        10,
        (9 + (index >> 16)) as u8,
        (index >> 8) as u8,
        index as u8,
    ];
    TargetSpec {
        name: format!("t{index}"),
        endpoint: std::net::SocketAddr::from((ip, 6081)).into(),
        zone: ZoneId((index % 7) as u16),
        weight: 100,
        connections: 2_000,
        slots: 2,
        probe: Some(std::net::SocketAddr::from((ip, 80)).into()),
    }
}

fn services(size: Size) -> Vec<Change> {
    let mut next = 0;
    (0..size.services)
        .map(|service| {
            let end = (service + 1) * size.targets / size.services;
            let targets = (next..end.max(next + 1)).map(target).collect();
            next = end.max(next + 1);
            let ip = [203, 0, (service >> 8) as u8, service as u8];
            Change::AddService(ServiceSpec {
                name: format!("s{service}"),
                addresses: vec![AddressSpec {
                    protocol: Protocol::Tcp,
                    endpoint: std::net::SocketAddr::from((ip, 443)).into(),
                }],
                targets,
            })
        })
        .collect()
}

impl Bench {
    fn new(size: Size) -> Self {
        let options = Options {
            max_flows: 1_000,
            ..Options::default()
        };
        Self::with_options(size, options)
    }

    fn with_options(size: Size, options: Options) -> Self {
        let node = Node::new(options, KEY, member(0, 1), Instant::START);
        let mut bench = Self {
            node,
            now: Instant::START,
            out: Vec::new(),
            sequence: 1 << 30,
            last_incarnation: 1,
            size,
        };
        let members: Vec<MemberUpdate> = (1..size.members).map(|id| member(id, 1)).collect();
        bench.probe(vec![member(1, 1)]);
        bench.event(Event::Message {
            from: MemberId(1),
            message: Message::Members {
                start: 0,
                members,
                more: false,
            },
        });
        bench.publish(services(size));
        bench.run_until_settled();
        bench
    }

    fn event(&mut self, event: Event) {
        self.node.handle(self.now, event, &mut self.out);
        black_box(&self.out);
        self.out.clear();
    }

    fn probe(&mut self, members: Vec<MemberUpdate>) {
        self.sequence += 1;
        let gossip = Gossip {
            known: self.node.known_revision(),
            agreed: self.node.in_force(),
            members,
            ..Gossip::default()
        };
        self.event(Event::Message {
            from: MemberId(1),
            message: Message::Probe {
                sequence: self.sequence,
                gossip,
            },
        });
    }

    fn publish(&mut self, changes: Vec<Change>) {
        let revision = self.node.known_revision().next();
        self.event(Event::Note(Arc::new(ReleaseNote {
            revision,
            id: NoteId(u128::from(revision.0)),
            published_ms: START_MS + self.now.as_micros() / 1_000,
            changes,
        })));
    }

    /// Advances the time by 600 ticks, answering every probe of this node.
    fn run_until_settled(&mut self) {
        for _ in 0..600 {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += node::TICK_INTERVAL;
        self.node.handle(self.now, Event::Tick, &mut self.out);
        self.answer_all();
    }

    /// Answers the probes that the last tick sent to other members.
    fn answer_all(&mut self) {
        let actions = std::mem::take(&mut self.out);
        for action in actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            if let Message::Probe { sequence, gossip } = message {
                self.event(Event::Message {
                    from: to,
                    message: Message::ProbeAnswer {
                        member: to,
                        sequence,
                        gossip: Gossip {
                            known: gossip.known,
                            agreed: gossip.agreed,
                            ..Gossip::default()
                        },
                    },
                });
            }
        }
    }
}

/// Returns the mean wall-clock time of one round, in microseconds.
fn mean_us(rounds: u32, mut each: impl FnMut(u32)) -> f64 {
    let started = Clock::now();
    for round in 0..rounds {
        each(round);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Measures the control work at one size.
pub fn measure(size: Size) -> Cost {
    let before = resident_memory_bytes();
    let mut bench = Bench::new(size);
    let memory_bytes = resident_memory_bytes().saturating_sub(before) as f64;
    let rounds = if size.targets > 5_000 { 20 } else { 100 };
    let snapshot = snapshot(&bench);
    let idle_bytes_per_sec = idle_bytes_per_sec(&mut bench);
    let tick_us = mean_us(400, |_| bench.tick());
    let probe_us = mean_us(400, |_| bench.probe(vec![]));
    let view_us = mean_us(rounds, |round| {
        bench.last_incarnation += 1;
        let id = 2 + round % (size.members - 2).max(1);
        let phase = if round % 2 == 0 {
            Phase::Left
        } else {
            Phase::Active
        };
        let incarnation = bench.last_incarnation;
        bench.probe(vec![MemberUpdate {
            phase,
            ..member(id, incarnation)
        }]);
    });
    let view_change_bytes = view_change_bytes(&bench);
    let note_us = mean_us(rounds.min(20), |round| {
        let service = format!("s{}", round % size.services);
        bench.publish(vec![Change::AddTarget {
            service,
            target: target(100_000 + round),
        }]);
    });
    let report_us = mean_us(400, |round| {
        let target = TargetKey(round % bench.size.targets);
        let report = Report {
            open: 100 + round,
            ..Report::default()
        };
        bench.event(Event::Probed {
            target,
            result: ProbeResult::Healthy(report),
        });
    });
    let mark_us = mean_us(rounds.min(20), |round| {
        let target = TargetKey(round);
        for _ in 0..3 {
            bench.event(Event::Probed {
                target,
                result: ProbeResult::Silent,
            });
        }
    });
    // Not freed, so that the next size cannot reuse this memory and its growth
    // is measured in full.
    std::mem::forget(bench);
    Cost {
        tick_us,
        probe_us,
        view_us,
        note_us,
        mark_us,
        report_us,
        probed_targets: f64::from(size.targets) / f64::from(size.members),
        idle_bytes_per_sec,
        view_change_bytes,
        memory_bytes,
        snapshot,
    }
}

/// Measures a snapshot of a node's catalog and its installation, see
/// [`Cost::snapshot`].
fn snapshot(bench: &Bench) -> (u32, f64, f64) {
    let catalog = bench.node.catalog();
    let parts: Vec<_> = (0..catalog.parts())
        .filter_map(|n| catalog.part(n, bench.now))
        .collect();
    let bytes: usize = parts
        .iter()
        .map(|p| cicadaweir_proto::note::part_to_json(p).len())
        .sum();
    let mut joining = Node::new(Options::default(), KEY, member(1, 1), Instant::START);
    let started = Clock::now();
    joining.handle(Instant::START, Event::Snapshot(parts), &mut Vec::new());
    let install_ms = started.elapsed().as_secs_f64() * 1e3;
    (catalog.parts(), bytes as f64, install_ms)
}

/// Returns the mean bytes sent per second over 1,000 ticks (10 s) without
/// changes. Each message counts twice, for the node's answers to as many probes
/// as it sends itself.
fn idle_bytes_per_sec(bench: &mut Bench) -> f64 {
    let mut bytes = 0;
    for _ in 0..1_000 {
        bench.now += node::TICK_INTERVAL;
        bench.node.handle(bench.now, Event::Tick, &mut bench.out);
        for action in &bench.out {
            if let Action::Send { message, .. } = action {
                let mut buf = Vec::new();
                codec::encode(MemberId(0), message, &mut buf);
                bytes += 2 * buf.len();
            }
        }
        bench.answer_all();
    }
    bytes as f64 / 10.0
}

/// Returns the bytes that one membership record adds at one daemon, over all its
/// transmissions.
fn view_change_bytes(bench: &Bench) -> f64 {
    let encoded = |members: Vec<MemberUpdate>| {
        let gossip = Gossip {
            members,
            ..Gossip::default()
        };
        let mut buf = Vec::new();
        codec::encode(
            MemberId(0),
            &Message::Probe {
                sequence: 1,
                gossip,
            },
            &mut buf,
        );
        buf.len()
    };
    let record = encoded(vec![member(1, 1), member(2, 2)]) - encoded(vec![member(1, 1)]);
    let transmissions = TRANSMISSIONS_PER_LOG * (u32::BITS - bench.size.members.leading_zeros());
    f64::from(transmissions) * record as f64
}

/// Returns the process's resident memory in bytes, or 0 if it cannot be read.
fn resident_memory_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

/// Fits a least-squares line through points and returns its intercept and slope.
/// The slope is 0 if all points have the same abscissa.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (sx, sy) = points
        .iter()
        .fold((0.0, 0.0), |s, p| (s.0 + p.0, s.1 + p.1));
    let (mx, my) = (sx / n, sy / n);
    let covariance: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (my - slope * mx, slope)
}
