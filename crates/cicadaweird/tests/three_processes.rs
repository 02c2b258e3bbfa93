//! Three daemon processes forward flows whose packets arrive at all three.

mod support;

use std::time::Duration;

use support::{TARGETS, TestCluster};

#[test]
fn three_processes_carry_flows_whose_packets_arrive_at_all_three() {
    let mut cluster = TestCluster::start(21);
    cluster.open_flows(60);
    cluster.callers.run_for(Duration::from_secs(3));
    let tally = cluster.callers.tally.clone();
    cluster.assert_flows_intact("under steady traffic");
    cluster.callers.close();
    cluster.callers.run_for(Duration::from_millis(200));
    assert_eq!(tally.opened, 120, "{tally:?}");
    assert!(
        tally.answered >= 180,
        "expected at least 180 answers: {tally:?}"
    );
    for (control, status) in cluster.fleet.status() {
        let status = status.unwrap_or_else(|| panic!("{control} did not answer"));
        let forwarded = status.counters.get("forwarded.remembered");
        assert!(
            forwarded > Some(&0),
            "{control} forwarded no packet of a known flow: {forwarded:?}"
        );
    }
    let targets = &cluster.targets[..usize::from(TARGETS)];
    let started: Vec<u64> = targets.iter().map(|t| t.app().started).collect();
    assert!(
        started.iter().all(|&b| b > 0),
        "a target got no request: {started:?}"
    );
}
