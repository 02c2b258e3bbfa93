//! How news spreads through fleets of several sizes.
//!
//! Real nodes in virtual time, two regions apart by the zone delay, without
//! callers: a release note, then a crash.

use cicadaweir_core::{
    catalog::Revision,
    time::{Duration, Instant},
};

use crate::world::{Fault, Happening, Options, ServiceOptions, World};

/// The sizes that are tried, in members.
pub const SIZES: [u32; 5] = [9, 32, 100, 200, 400];

/// The step at which the fleet is looked at.
const STEP: Duration = Duration::from_millis(10);

/// How long the fleet may take to come together.
const START: Duration = Duration::from_secs(30);

/// The longest that a spread is waited for.
const LIMIT: Duration = Duration::from_secs(8);

/// How news spread through one fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Spread {
    /// Until every member knew a release note.
    pub known: Duration,
    /// Until it was in force at every member.
    pub in_force: Duration,
    /// Until every member knew of a crash.
    pub crash_seen: Duration,
    /// Bytes that a member sends in a quiet second.
    pub quiet_rate: f64,
    /// Bytes that a member sends for one release note.
    pub note_bytes: f64,
    /// Calls on the store for one release note.
    pub store_calls: u64,
}

/// Tries one size.
pub fn run(members: u32, seed: u64) -> Spread {
    let mut world = World::new(Options {
        seed,
        entry_vms: members,
        zones: 7,
        zone_delay: Duration::from_millis(15),
        services: vec![ServiceOptions {
            name: "board".to_owned(),
            targets: 14,
            connections: 2_000,
            slots: 2,
            work: Duration::from_millis(10),
        }],
        ..Options::default()
    });
    let mut now = Instant::START + START;
    world.run_until(now);
    let quiet_from = total_bytes(&world);
    now += Duration::from_secs(2);
    world.run_until(now);
    let quiet = (total_bytes(&world) - quiet_from) as f64 / f64::from(members) / 2.0;
    let calls = world.measures.store_calls;
    let before = total_bytes(&world);
    world.at(now, Happening::Fault(Fault::AddTarget(0)));
    let known = wait(&mut world, |node| node.known_revision() >= Revision(2));
    let in_force = known + wait(&mut world, |node| node.in_force() >= Revision(2));
    let spent = (total_bytes(&world) - before) as f64 / f64::from(members);
    let store_calls = world.measures.store_calls - calls;
    let crashed = members as usize / 2;
    let at = world.now();
    world.at(at, Happening::Fault(Fault::Crash(crashed)));
    let crash_seen = wait(&mut world, |node| {
        let id = cicadaweir_core::membership::MemberId(crashed as u32);
        node.view().get(id).is_none_or(|m| !m.reachable())
    });
    Spread {
        known,
        in_force,
        crash_seen,
        quiet_rate: quiet,
        note_bytes: (spent - quiet * in_force.as_secs_f64()).max(0.0),
        store_calls,
    }
}

fn total_bytes(world: &World) -> u64 {
    world.measures.control_bytes.values().sum()
}

/// Runs until all nodes that run fulfil a condition; returns the time.
fn wait(world: &mut World, done: impl Fn(&cicadaweir_core::node::Node) -> bool) -> Duration {
    let started = world.now();
    let mut now = started;
    while now.since(started) < LIMIT {
        now += STEP;
        world.run_until(now);
        if world.nodes().all(&done) {
            break;
        }
    }
    now.since(started)
}
