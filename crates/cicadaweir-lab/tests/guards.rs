//! Checks that disabling a guard leads to the failure that it prevents.

use cicadaweir_core::node::Guard;
use cicadaweir_lab::{
    measure::{Invariant, Measures},
    scenario::{Deployment, all},
};

fn run(name: &str, visits: u32, guard: Option<Guard>) -> Measures {
    let scenario = all().into_iter().find(|s| s.name == name);
    let mut scenario = scenario.expect("a known scenario");
    scenario.load.visits = visits;
    scenario.run_with_guard_disabled(guard, Deployment::CompasAndino, 1)
}

#[test]
fn without_witnesses_a_booking_runs_twice_in_a_zone_cut() {
    let with = run("zone-cut", 40, None);
    assert!(with.broken_invariants.is_empty());
    let without = run("zone-cut", 40, Some(Guard::Witness));
    assert!(without.broken_invariants.contains_key(&Invariant::RanTwice));
}

#[test]
fn without_the_reset_filter_a_zone_cut_breaks_twice_as_many_flows() {
    let with = run("zone-cut", 40, None);
    let without = run("zone-cut", 40, Some(Guard::ResetFilter));
    assert!(
        without.broken > 2 * with.broken,
        "{} flows broken without the reset filter, {} with it",
        without.broken,
        with.broken
    );
}

#[test]
fn without_the_take_over_a_pause_breaks_flows() {
    let with = run("pause", 400, None);
    assert_eq!(with.broken, 0);
    let without = run("pause", 400, Some(Guard::TakeOver));
    assert!(without.broken > 0);
}
