//! When a planned stop is complete.

use std::time::{Duration, Instant};

use cicadaweird::planned_stop::{PlannedStop, StopLimits};

fn limits() -> StopLimits {
    StopLimits {
        min_duration: Duration::from_millis(1_600),
        idle_timeout: Duration::from_millis(400),
        max_duration: Duration::from_millis(4_500),
    }
}

#[test]
fn a_stop_waits_for_the_routers_and_for_a_time_without_packets() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut stop = PlannedStop::new(start, limits());
    assert!(!stop.is_complete(at(1_500), true));
    stop.record_packet(at(1_500));
    assert!(!stop.is_complete(at(1_700), true));
    assert!(stop.is_complete(at(1_900), true));
}

// An opening that was accepted and waits for admission was lost at the exit.
#[test]
fn a_stop_waits_for_what_is_not_decided_yet_but_not_for_ever() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let stop = PlannedStop::new(start, limits());
    assert!(!stop.is_complete(at(2_500), false));
    assert!(stop.is_complete(at(4_500), false));
}
