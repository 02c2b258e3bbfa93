//! Propagation of a release note and of a crash through fleets of several sizes.
//!
//! Runs real nodes in virtual time, in seven zones and without callers. The
//! delay between any two zones is that between two regions.

use cicadaweir_core::{
    catalog::Revision,
    time::{Duration, Instant},
};

use crate::world::{Fault, Options, ServiceOptions, SimEvent, World};

/// The measured sizes, in members.
pub const FLEET_SIZES: [u32; 5] = [9, 32, 100, 200, 400];

/// The virtual time between two checks of the fleet's state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time for all members to join before the measurement starts.
const CONVERGENCE_TIME: Duration = Duration::from_secs(30);

/// The longest time to wait for a change to reach all members.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(8);

/// Propagation times and costs in one fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Propagation {
    /// The time from a release note's publication until every member knew it.
    pub known: Duration,
    /// The time from its publication until it was in force at every member.
    pub in_force: Duration,
    /// The time from a crash until every running member had detected it.
    pub crash_detected: Duration,
    /// Bytes that a member sends per second without changes.
    pub idle_bytes_per_sec: f64,
    /// Bytes that a member sends for one release note.
    pub note_bytes: f64,
    /// Calls to the store for one release note, over all members.
    pub store_calls: u64,
}

/// Measures a fleet of the given number of members.
pub fn run(members: u32, seed: u64) -> Propagation {
    let mut world = World::new(Options {
        seed,
        entry_vms: members,
        zones: 7,
        zone_delay: Duration::from_millis(15),
        services: vec![ServiceOptions {
            name: "board".to_owned(),
            targets: 14,
            max_connections: 2_000,
            slots: 2,
            service_time: Duration::from_millis(10),
        }],
        ..Options::default()
    });
    let mut now = Instant::START + CONVERGENCE_TIME;
    world.run_until(now);
    let idle_start_bytes = total_bytes(&world);
    now += Duration::from_secs(2);
    world.run_until(now);
    let idle_bytes_per_sec =
        (total_bytes(&world) - idle_start_bytes) as f64 / f64::from(members) / 2.0;
    let calls_before = world.measures.store_calls;
    let bytes_before = total_bytes(&world);
    world.schedule_at(now, SimEvent::Fault(Fault::AddTarget(0)));
    let known = run_until_all(&mut world, |node| node.known_revision() >= Revision(2));
    let in_force = known + run_until_all(&mut world, |node| node.in_force() >= Revision(2));
    let bytes_per_member = (total_bytes(&world) - bytes_before) as f64 / f64::from(members);
    let store_calls = world.measures.store_calls - calls_before;
    let crashed = members as usize / 2;
    let at = world.now();
    world.schedule_at(at, SimEvent::Fault(Fault::Crash(crashed)));
    let crash_detected = run_until_all(&mut world, |node| {
        let id = cicadaweir_core::membership::MemberId(crashed as u32);
        node.view().get(id).is_none_or(|m| !m.reachable())
    });
    Propagation {
        known,
        in_force,
        crash_detected,
        idle_bytes_per_sec,
        note_bytes: (bytes_per_member - idle_bytes_per_sec * in_force.as_secs_f64()).max(0.0),
        store_calls,
    }
}

fn total_bytes(world: &World) -> u64 {
    world.measures.control_bytes.values().sum()
}

/// Runs until the condition holds at all running nodes or the timeout is
/// reached, and returns the elapsed virtual time.
fn run_until_all(
    world: &mut World,
    done: impl Fn(&cicadaweir_core::node::Node) -> bool,
) -> Duration {
    let started = world.now();
    let mut now = started;
    while now.since(started) < PROPAGATION_TIMEOUT {
        now += POLL_INTERVAL;
        world.run_until(now);
        if world.nodes().all(&done) {
            break;
        }
    }
    now.since(started)
}
