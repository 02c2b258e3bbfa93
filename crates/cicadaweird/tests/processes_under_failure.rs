//! Real processes: stopped, killed, frozen, and without their platform.

mod support;

use std::time::Duration;

use cicadaweir_standins::platform::Faults;
use support::{Running, start_daemon};

const STEP: Duration = Duration::from_secs(2);

#[test]
fn a_note_a_planned_stop_and_a_restart_break_no_flow() {
    let mut running = Running::start(22);
    running.open_flows(20);
    running.callers.run_for(STEP);
    let second = running.second_note();
    let revision = running.publish(&second);
    running.callers.run_for(STEP);
    assert!(running.wait_for(revision, 3), "the second note is in force");
    running.assert_unharmed("after the note");

    running.daemons[1].signal("TERM");
    running.spray_over(&[1, 3]);
    let mut ended = None;
    for _ in 0..40 {
        running.callers.run_for(Duration::from_millis(250));
        ended = running.daemons[1].0.try_wait().expect("a child");
        if ended.is_some() {
            break;
        }
    }
    assert!(ended.is_some_and(|s| s.success()), "exit code 0: {ended:?}");
    running.assert_unharmed("after the planned stop");

    running.daemons[1] = start_daemon(&running.site, 2);
    assert!(running.wait_for(revision, 3), "the new one has joined");
    running.spray_over(&[1, 2, 3]);
    running.callers.run_for(STEP);
    running.assert_unharmed("after the restart");
    assert!(running.callers.tally.answered > 500);
}

#[test]
fn a_kill_breaks_no_flow_of_those_that_go_on() {
    let mut running = Running::start(23);
    running.open_flows(20);
    running.callers.run_for(STEP);
    running.daemons[2].signal("KILL");
    running.spray_over(&[1, 2]);
    running.callers.run_for(STEP * 2);
    running.assert_unharmed("after the kill");
}

#[test]
fn a_frozen_process_resumes_and_breaks_no_flow() {
    let mut running = Running::start(24);
    running.open_flows(20);
    running.callers.run_for(STEP);
    running.daemons[0].signal("STOP");
    running.callers.run_for(STEP);
    running.daemons[0].signal("CONT");
    running.callers.run_for(STEP * 2);
    running.assert_unharmed("after the freeze");
    assert!(running.wait_for(1, 3), "all three are active again");
}

#[test]
fn flows_open_while_the_platform_is_down_and_a_newcomer_joins_afterwards() {
    let mut running = Running::start(25);
    running.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    running.open_flows(20);
    running.callers.run_for(STEP);
    running.assert_unharmed("in the outage");
    assert!(
        running.callers.tally.opened == 40,
        "{:?}",
        running.callers.tally
    );
    running.daemons[2].signal("KILL");
    running.spray_over(&[1, 2]);
    running.callers.run_for(STEP);
    running.platform.set_faults(Faults::default());
    running.daemons[2] = start_daemon(&running.site, 3);
    assert!(running.wait_for(1, 3), "the newcomer has the note in force");
    running.spray_over(&[1, 2, 3]);
    running.callers.run_for(STEP);
    running.assert_unharmed("after the outage");
}
