//! Checks that must hold in every scenario, on both deployments.

use cicadaweir_core::{route::Policy, time::Duration};
use cicadaweir_lab::{
    measure::Measures,
    scenario::{Deployment, Scenario, all},
};

/// The longest time until a note must be in force at all running members.
const MAX_NOTE_LATENCY: Duration = Duration::from_secs(3);

/// The most bytes of control messages that a member may send per second.
const MAX_CONTROL_BYTES_PER_SEC: f64 = 4_096.0;

/// Runs a scenario once for each deployment, both at the same time.
fn run_both(scenario: &Scenario, seed: u64) -> Vec<Measures> {
    std::thread::scope(|scope| {
        let handles: Vec<_> = Deployment::ALL
            .iter()
            .map(|&d| scope.spawn(move || scenario.run(d, Policy::Owned, seed)))
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().expect("no run panicked"))
            .collect()
    })
}

/// Runs the named scenarios and checks invariants, planned changes, note latency
/// and control traffic.
fn check(names: &[&str]) {
    for scenario in all().iter().filter(|s| names.contains(&s.name)) {
        for m in run_both(scenario, 1) {
            let name = scenario.name;
            assert!(
                m.broken_invariants.is_empty(),
                "{name}: violated invariants {:?}",
                m.broken_invariants
            );
            assert!(m.opened > 1_000, "{name}: only {} flows opened", m.opened);
            assert!(
                !scenario.planned || m.broken == 0,
                "{name}: {} flows broken",
                m.broken
            );
            assert!(
                m.max_note_latency() <= MAX_NOTE_LATENCY,
                "{name}: note latencies {:?}",
                m.note_latencies
            );
            let rate = m.control_rate();
            assert!(
                rate <= MAX_CONTROL_BYTES_PER_SEC,
                "{name}: {rate} control bytes per second"
            );
        }
    }
}

#[test]
fn every_scenario_is_covered_by_a_test() {
    let mut checked: Vec<&str> = [PLANNED, MEMBERS, PARTITIONS, TARGETS, SURGES].concat();
    checked.sort_unstable();
    let mut names: Vec<&str> = all().iter().map(|s| s.name).collect();
    names.sort_unstable();
    assert_eq!(checked, names);
}

const PLANNED: &[&str] = &[
    "steady",
    "notes",
    "planned-stop",
    "rolling-replacement",
    "note-in-hand-over",
    "store-outage",
];
const MEMBERS: &[&str] = &[
    "crash",
    "crash-after-note",
    "two-crashes-after-note",
    "successor-crash",
    "pause",
];
const PARTITIONS: &[&str] = &["zone-cut", "zone-cut-and-note", "one-way-cut"];
const TARGETS: &[&str] = &[
    "target-crash",
    "target-mute",
    "target-says-idle",
    "target-slow",
    "silent-flows",
];
const SURGES: &[&str] = &["surge-1x", "surge-2x", "surge-3x"];

#[test]
fn planned_changes_break_no_flow() {
    check(PLANNED);
}

#[test]
fn crashes_and_pauses_of_members_break_no_invariant() {
    check(MEMBERS);
}

#[test]
fn partitions_between_zones_break_no_invariant() {
    check(PARTITIONS);
}

#[test]
fn faulty_targets_break_no_invariant() {
    check(TARGETS);
}

#[test]
fn surges_break_no_invariant() {
    check(SURGES);
}

#[test]
fn one_crash_breaks_at_most_one_flow_in_a_thousand() {
    for scenario in all().iter().filter(|s| s.name.starts_with("crash")) {
        for m in run_both(scenario, 2) {
            assert!(
                m.broken * 1_000 <= m.opened,
                "{}: {} of {} flows broken",
                scenario.name,
                m.broken,
                m.opened
            );
        }
    }
}

#[test]
fn a_threefold_surge_serves_95_percent_of_the_connection_capacity() {
    let scenario = all().into_iter().find(|s| s.name == "surge-3x");
    let scenario = scenario.expect("a known scenario");
    for m in run_both(&scenario, 2) {
        let capacity = 14.0 * 2_000.0;
        let served_fraction = m.served_in_surge as f64 / capacity;
        assert!(
            served_fraction >= 0.95,
            "only {served_fraction} of the connection capacity served"
        );
    }
}

#[test]
fn runs_with_the_same_seed_give_the_same_measures() {
    let scenario = all().into_iter().find(|s| s.name == "crash-after-note");
    let scenario = scenario.expect("a known scenario");
    let runs = run_both(&scenario, 3);
    let repeated = run_both(&scenario, 3);
    for (a, b) in runs.iter().zip(&repeated) {
        assert_eq!(a.forwarded, b.forwarded);
        assert_eq!(a.control_bytes, b.control_bytes);
        assert_eq!(a.answered, b.answered);
    }
}
