//! Goodput under overload, pattern by pattern. Each pattern is also played without
//! admission, which has to miss the bound.

use cicadaweir_core::steer::{AdmissionOptions, LimitPolicy, Options};
use cicadaweir_lab::overload::{Load, Outcome, Site, Trouble, run};

/// The share of the targets' capacity that is to be answered within the latency
/// objective, at any load above it.
const GOODPUT: f64 = 0.80;

/// The share of the requests of a calm time that is to be answered within the
/// objective: all but those whose own work takes too long.
const CALM: f64 = 0.95;

fn options(policy: LimitPolicy) -> Options {
    Options {
        admission: AdmissionOptions {
            policy,
            ..AdmissionOptions::default()
        },
        ..Options::default()
    }
}

fn play(site: &Site, load: &Load, policy: LimitPolicy) -> Outcome {
    let outcome = run(site, load, options(policy), 1);
    assert_eq!(
        outcome.false_refusals, 0,
        "refused although a packet of the flow had reached a target"
    );
    outcome
}

/// Returns the share of the capacity that was answered in time while the burst
/// lasted, from its second second on.
fn goodput(site: &Site, load: &Load, outcome: &Outcome) -> f64 {
    let (from, until) = (load.burst_from as usize + 2, load.burst_until as usize);
    let counts = outcome.between(from, until, None);
    counts.in_aim as f64 / (until - from) as f64 / site.capacity(load.mean_work_ms())
}

/// Returns the share of the requests of some seconds that was answered in time.
fn in_aim(outcome: &Outcome, from: usize, until: usize) -> f64 {
    let counts = outcome.between(from, until, None);
    counts.in_aim as f64 / counts.asked as f64
}

fn assert_goodput(site: &Site, load: &Load) {
    let with = play(site, load, LimitPolicy::Objective);
    let reached = goodput(site, load, &with);
    assert!(reached >= GOODPUT, "{reached:.2} of the capacity in time");
    let end = load.burst_until as usize;
    let after = in_aim(&with, end, end + 2);
    assert!(after >= CALM, "{after:.2} in time after the burst");
    let without = play(site, load, LimitPolicy::Unlimited);
    let reached = goodput(site, load, &without);
    assert!(reached < GOODPUT, "{reached:.2} without admission");
}

#[test]
fn a_burst_of_one_and_a_half_times_the_capacity_is_served_in_time() {
    let site = Site::default();
    assert_goodput(&site, &Load::burst(&site, 1.5));
}

#[test]
fn a_burst_of_twice_the_capacity_is_served_in_time() {
    let site = Site::default();
    assert_goodput(&site, &Load::burst(&site, 2.0));
}

#[test]
fn a_burst_of_three_times_the_capacity_is_served_in_time() {
    let site = Site::default();
    assert_goodput(&site, &Load::burst(&site, 3.0));
}

#[test]
fn the_limit_means_the_same_for_three_entry_vms() {
    let site = Site {
        entry_vms: 3,
        ..Site::default()
    };
    assert_goodput(&site, &Load::burst(&site, 2.0));
}

#[test]
fn the_limit_means_the_same_for_sixty_entry_vms() {
    let site = Site {
        entry_vms: 61,
        targets: 120,
        ..Site::default()
    };
    let load = Load {
        burst_until: 8.0,
        end: 10.0,
        ..Load::burst(&site, 1.5)
    };
    assert_goodput(&site, &load);
}

// Refused callers come back four times instead of twice.
#[test]
fn a_storm_of_returning_callers_does_not_lower_the_goodput() {
    let site = Site::default();
    let load = Load {
        retries: 4,
        ..Load::burst(&site, 2.0)
    };
    assert_goodput(&site, &load);
}

#[test]
fn all_entry_vms_may_restart_at_the_crest() {
    let site = Site::default();
    let load = Load {
        troubles: vec![Trouble::RestartEntryVms {
            from: 6.0,
            until: 6.3,
        }],
        ..Load::burst(&site, 2.0)
    };
    let with = play(&site, &load, LimitPolicy::Objective);
    let counts = with.between(8, 10, None);
    let reached = counts.in_aim as f64 / 2.0 / site.capacity(load.mean_work_ms());
    assert!(reached >= GOODPUT, "{reached:.2} two seconds later");
    let without = play(&site, &load, LimitPolicy::Unlimited);
    let counts = without.between(8, 10, None);
    let reached = counts.in_aim as f64 / 2.0 / site.capacity(load.mean_work_ms());
    assert!(reached < GOODPUT, "{reached:.2} without admission");
}

// The crowd after an outage of all entry VMs is served within two seconds.
#[test]
fn service_is_back_two_seconds_after_an_outage() {
    let site = Site::default();
    let load = Load {
        troubles: vec![Trouble::RestartEntryVms {
            from: 6.0,
            until: 7.3,
        }],
        ..Load::burst(&site, 0.6)
    };
    let outcome = play(&site, &load, LimitPolicy::Objective);
    let after = in_aim(&outcome, 9, 12);
    assert!(after >= CALM, "{after:.2} in time");
    let crowd = outcome.between(7, 9, None);
    let lost = (crowd.refused + crowd.timed_out) as f64 / crowd.asked as f64;
    let without = play(&site, &load, LimitPolicy::Unlimited).between(7, 9, None);
    let lost_without = (without.refused + without.timed_out) as f64 / without.asked as f64;
    assert!(
        lost <= lost_without + 0.01,
        "{lost:.3} lost, {lost_without:.3} without admission"
    );
}

#[test]
fn nothing_is_refused_while_targets_are_idle() {
    for entry_vms in [3, 9, 61] {
        for times_capacity in [0.33, 0.5] {
            let site = Site {
                entry_vms,
                ..Site::default()
            };
            let load = Load::burst(&site, times_capacity);
            let outcome = play(&site, &load, LimitPolicy::Objective);
            assert_eq!(
                outcome.entry_refusals, 0,
                "{entry_vms} entry VMs at {times_capacity} of the capacity"
            );
            let in_time = in_aim(&outcome, 0, 14);
            assert!(in_time >= CALM, "{in_time:.2} in time");
        }
    }
}

// One zone's callers send four times as much as those of the others.
#[test]
fn a_zone_that_is_overloaded_alone_sends_elsewhere() {
    let site = Site::default();
    let load = Load {
        troubles: vec![Trouble::ZoneBurst {
            factor: 4.0,
            from: 4.0,
            until: 10.0,
        }],
        ..Load::burst(&site, 0.6)
    };
    let outcome = play(&site, &load, LimitPolicy::Objective);
    let in_time = in_aim(&outcome, 5, 10);
    assert!(in_time >= CALM, "{in_time:.2} in time");
}

#[test]
fn targets_that_are_down_do_not_hold_the_others_back() {
    let site = Site::default();
    let load = Load {
        troubles: vec![Trouble::TargetsDown {
            share: 0.25,
            from: 4.0,
            until: 10.0,
        }],
        ..Load::burst(&site, 0.5)
    };
    let outcome = play(&site, &load, LimitPolicy::Objective);
    let in_time = in_aim(&outcome, 5, 10);
    assert!(in_time >= CALM, "{in_time:.2} in time");
}

// A third of the targets is six times slower: the rest has to do nearly all.
#[test]
fn slow_targets_get_less_than_the_others() {
    let site = Site::default();
    let load = Load {
        troubles: vec![Trouble::SlowTargets {
            share: 0.34,
            factor: 6.0,
            from: 4.0,
            until: 10.0,
        }],
        ..Load::burst(&site, 0.5)
    };
    let heeded = run(&site, &load, Options::default(), 1);
    let ignored = Options {
        delay_weight: 0.0,
        ..Options::default()
    };
    let ignored = run(&site, &load, ignored, 1);
    let (heeded, ignored) = (in_aim(&heeded, 5, 10), in_aim(&ignored, 5, 10));
    assert!(
        heeded > ignored,
        "{heeded:.3} in time, {ignored:.3} if delays of targets don't count"
    );
}

#[test]
fn a_high_priority_is_served_first_and_no_class_starves() {
    let site = Site::default();
    let load = Load::burst(&site, 2.0);
    let outcome = play(&site, &load, LimitPolicy::Objective);
    let share = |class| {
        let counts = outcome.between(6, 10, Some(class));
        counts.in_aim as f64 / counts.asked as f64
    };
    let (listings, notes) = (share(0), share(1));
    assert!(notes > listings, "{notes:.2} and {listings:.2}");
    assert!(listings > 0.2, "{listings:.2}");
}
