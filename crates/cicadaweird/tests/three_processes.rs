//! Three daemon processes carry flows whose packets arrive at all three.

mod support;

use std::time::Duration;

use support::{Running, TARGETS};

#[test]
fn three_processes_carry_flows_whose_packets_arrive_at_all_three() {
    let mut running = Running::start(21);
    running.open_flows(60);
    running.callers.run_for(Duration::from_secs(3));
    let tally = running.callers.tally.clone();
    running.assert_unharmed("steady");
    running.callers.close();
    running.callers.run_for(Duration::from_millis(200));
    assert_eq!(tally.opened, 120, "{tally:?}");
    assert!(tally.answered >= 180, "every flow was answered: {tally:?}");
    for (control, status) in running.fleet.status() {
        let status = status.unwrap_or_else(|| panic!("{control} answers"));
        let forwarded = status.counters.get("forwarded.remembered");
        assert!(forwarded > Some(&0), "packets of flows came to {control}");
    }
    let used = &running.targets[..usize::from(TARGETS)];
    let begun: Vec<u64> = used.iter().map(|t| t.app().started).collect();
    assert!(
        begun.iter().all(|&b| b > 0),
        "every target works: {begun:?}"
    );
}
