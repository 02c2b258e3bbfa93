//! What must hold in every scenario, for both deployments.

use cicadaweir_core::{route::Policy, time::Duration};
use cicadaweir_lab::{
    measure::Measures,
    scenario::{Deployment, Scenario, all},
};

/// The longest that a note may take to be in force at all reachable members.
const NOTE_BOUND: Duration = Duration::from_secs(3);

/// The most control bytes that a member may send in a second.
const CONTROL_BOUND: f64 = 4_096.0;

/// Runs a scenario once for each deployment, both at the same time.
fn run_both(scenario: &Scenario, seed: u64) -> Vec<Measures> {
    std::thread::scope(|scope| {
        let started: Vec<_> = Deployment::ALL
            .iter()
            .map(|&d| scope.spawn(move || scenario.run(d, Policy::Owned, seed)))
            .collect();
        started
            .into_iter()
            .map(|run| run.join().expect("a run does not panic"))
            .collect()
    })
}

fn check(names: &[&str]) {
    for scenario in all().iter().filter(|s| names.contains(&s.name)) {
        for m in run_both(scenario, 1) {
            let name = scenario.name;
            assert!(
                m.broken_invariants.is_empty(),
                "{name}: {:?}",
                m.broken_invariants
            );
            assert!(m.opened > 1_000, "{name}: only {} flows opened", m.opened);
            assert!(
                !scenario.planned || m.broken == 0,
                "{name}: {} broken",
                m.broken
            );
            assert!(
                m.slowest_note() <= NOTE_BOUND,
                "{name}: {:?}",
                m.note_latencies
            );
            let rate = m.control_rate();
            assert!(rate <= CONTROL_BOUND, "{name}: {rate} bytes a second");
        }
    }
}

#[test]
fn every_scenario_is_checked_by_a_test_below() {
    let mut checked: Vec<&str> = [PLANNED, MEMBERS, CUTS, TARGETS, SURGES].concat();
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
const CUTS: &[&str] = &["zone-cut", "zone-cut-and-note", "one-way-cut"];
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
fn cuts_between_zones_break_no_invariant() {
    check(CUTS);
}

#[test]
fn misbehaving_targets_break_no_invariant() {
    check(TARGETS);
}

#[test]
fn surges_break_no_invariant() {
    check(SURGES);
}

#[test]
fn one_crash_of_nine_breaks_at_most_one_flow_in_a_thousand() {
    for scenario in all().iter().filter(|s| s.name.starts_with("crash")) {
        for m in run_both(scenario, 2) {
            assert!(
                m.broken * 1_000 <= m.opened,
                "{}: {}",
                scenario.name,
                m.broken
            );
        }
    }
}

#[test]
fn the_crest_serves_what_the_targets_have_room_for() {
    let scenario = all().into_iter().find(|s| s.name == "surge-3x");
    let scenario = scenario.expect("a scenario");
    for m in run_both(&scenario, 2) {
        let capacity = 14.0 * 2_000.0;
        let good = m.good_in_surge as f64 / capacity;
        assert!(good >= 0.95, "{good} of the capacity");
    }
}

#[test]
fn a_run_depends_on_its_seed_alone() {
    let scenario = all().into_iter().find(|s| s.name == "crash-after-note");
    let scenario = scenario.expect("a scenario");
    let runs = run_both(&scenario, 3);
    let again = run_both(&scenario, 3);
    for (a, b) in runs.iter().zip(&again) {
        assert_eq!(a.forwarded, b.forwarded);
        assert_eq!(a.control_bytes, b.control_bytes);
        assert_eq!(a.answered, b.answered);
    }
}
