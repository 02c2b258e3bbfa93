//! Daemon processes under planned stops, kills, pauses and platform outages.

mod support;

use std::time::Duration;

use cicadaweir_standins::platform::Faults;
use support::{TestCluster, start_daemon};

/// How long callers send packets between two steps of a test.
const TRAFFIC_DURATION: Duration = Duration::from_secs(2);

#[test]
fn a_note_a_planned_stop_and_a_restart_break_no_flow() {
    let mut cluster = TestCluster::start(22);
    cluster.open_flows(20);
    cluster.callers.run_for(TRAFFIC_DURATION);
    let second = cluster.second_note();
    let revision = cluster.publish(&second);
    cluster.callers.run_for(TRAFFIC_DURATION);
    assert!(
        cluster.wait_until_in_force(revision, 3),
        "the second note is not in force"
    );
    cluster.assert_flows_intact("after the note");

    cluster.daemons[1].signal("TERM");
    cluster.set_entry_vms(&[1, 3]);
    let mut exit_status = None;
    for _ in 0..40 {
        cluster.callers.run_for(Duration::from_millis(250));
        exit_status = cluster.daemons[1]
            .0
            .try_wait()
            .expect("the child process can be waited for");
        if exit_status.is_some() {
            break;
        }
    }
    assert!(
        exit_status.is_some_and(|s| s.success()),
        "expected exit code 0, got {exit_status:?}"
    );
    cluster.assert_flows_intact("after the planned stop");

    cluster.daemons[1] = start_daemon(&cluster.site, 2);
    assert!(
        cluster.wait_until_in_force(revision, 3),
        "the restarted process did not join"
    );
    cluster.set_entry_vms(&[1, 2, 3]);
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.assert_flows_intact("after the restart");
    assert!(cluster.callers.tally.answered > 500);
}

#[test]
fn a_killed_process_breaks_no_flow() {
    let mut cluster = TestCluster::start(23);
    cluster.open_flows(20);
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.daemons[2].signal("KILL");
    cluster.set_entry_vms(&[1, 2]);
    cluster.callers.run_for(TRAFFIC_DURATION * 2);
    cluster.assert_flows_intact("after the kill");
}

#[test]
fn a_paused_process_resumes_and_breaks_no_flow() {
    let mut cluster = TestCluster::start(24);
    cluster.open_flows(20);
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.daemons[0].signal("STOP");
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.daemons[0].signal("CONT");
    cluster.callers.run_for(TRAFFIC_DURATION * 2);
    cluster.assert_flows_intact("after the pause");
    assert!(
        cluster.wait_until_in_force(1, 3),
        "not all three processes are active again"
    );
}

#[test]
fn flows_open_during_a_platform_outage_and_a_new_process_joins_afterwards() {
    let mut cluster = TestCluster::start(25);
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.open_flows(20);
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.assert_flows_intact("during the outage");
    assert!(
        cluster.callers.tally.opened == 40,
        "{:?}",
        cluster.callers.tally
    );
    cluster.daemons[2].signal("KILL");
    cluster.set_entry_vms(&[1, 2]);
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.platform.set_faults(Faults::default());
    cluster.daemons[2] = start_daemon(&cluster.site, 3);
    assert!(
        cluster.wait_until_in_force(1, 3),
        "the new process does not have the note in force"
    );
    cluster.set_entry_vms(&[1, 2, 3]);
    cluster.callers.run_for(TRAFFIC_DURATION);
    cluster.assert_flows_intact("after the outage");
}
