//! Health checks, marks and admission control.

use cicadaweir_core::{
    catalog::TargetKey,
    load::{
        Admission, HealthTracker, Limits, LoadUpdate, Mark, Options, PassiveHealth, ProbeResult,
        Report,
    },
    time::{Duration, Instant},
};

const LIMITS: Limits = Limits {
    connections: 2_000,
    slots: 2,
};

fn at(millis: u64) -> Instant {
    Instant::START + Duration::from_millis(millis)
}

fn healthy(open: u32) -> ProbeResult {
    ProbeResult::Healthy(Report {
        open,
        ..Report::default()
    })
}

struct Prober {
    tracker: HealthTracker,
    passive: PassiveHealth,
    mark: Mark,
    now: u64,
}

impl Prober {
    fn new() -> Self {
        Self {
            tracker: HealthTracker::default(),
            passive: PassiveHealth::default(),
            mark: Mark::Normal,
            now: 0,
        }
    }

    fn probe(&mut self, result: ProbeResult) -> Mark {
        self.now += 500;
        let options = Options::default();
        self.mark = self.tracker.record_probe(
            at(self.now),
            result,
            self.mark,
            LIMITS,
            &mut self.passive,
            &options,
        );
        self.mark
    }
}

#[test]
fn three_failed_probes_mark_a_target_down_and_three_successes_ramp_it_up() {
    let mut prober = Prober::new();
    assert_eq!(prober.probe(ProbeResult::Silent), Mark::Normal);
    assert_eq!(prober.probe(ProbeResult::Unhealthy), Mark::Normal);
    assert_eq!(prober.probe(ProbeResult::Silent), Mark::Down);
    assert_eq!(prober.probe(healthy(0)), Mark::Down);
    assert_eq!(prober.probe(healthy(0)), Mark::Down);
    assert_eq!(prober.probe(healthy(0)), Mark::Ramping);
    for _ in 0..40 {
        prober.probe(healthy(10));
    }
    assert_eq!(
        prober.mark,
        Mark::Settled,
        "a target that was down does not return to normal"
    );
}

#[test]
fn a_target_that_answers_probes_but_no_openings_stays_down_longer_each_time() {
    let mut prober = Prober::new();
    let mut down_times = Vec::new();
    let mut down_since = None;
    for _ in 0..240 {
        for _ in 0..8 {
            prober.passive.record_opening();
        }
        let before = prober.mark;
        let mark = prober.probe(healthy(0));
        if mark == Mark::Down && before != Mark::Down {
            down_since = Some(prober.now);
        }
        if mark != Mark::Down && before == Mark::Down {
            down_times.extend(down_since.map(|since| prober.now - since));
        }
    }
    assert!(down_times.len() >= 2, "down times in ms: {down_times:?}");
    assert!(
        down_times[0] >= 10_000 && down_times[1] >= 20_000,
        "down times in ms: {down_times:?}"
    );
}

#[test]
fn a_hot_target_settles_only_below_the_cool_threshold() {
    let mut prober = Prober::new();
    assert_eq!(prober.probe(healthy(1_860)), Mark::Hot);
    assert_eq!(prober.probe(healthy(1_700)), Mark::Hot);
    assert_eq!(prober.probe(healthy(1_500)), Mark::Settled);
}

#[test]
fn a_draining_target_is_marked_down() {
    let mut prober = Prober::new();
    let draining = ProbeResult::Healthy(Report {
        draining: true,
        ..Report::default()
    });
    assert_eq!(prober.probe(draining), Mark::Down);
}

fn load_update(version: u32, open: u32, pending: u32, rate: u32) -> LoadUpdate {
    LoadUpdate {
        target: TargetKey(0),
        version,
        open,
        pending,
        rate,
    }
}

fn place_until_refused(admission: &mut Admission, now: Instant, members: usize) -> u32 {
    let options = Options::default();
    let mut count = 0;
    while admission.admits(now, LIMITS, members, &options) && count < 10_000 {
        admission.record_placement(now, &options);
        count += 1;
    }
    count
}

#[test]
fn the_remaining_capacity_of_a_loaded_target_is_divided_among_the_members() {
    let mut admission = Admission::default();
    admission.record_report(at(0), load_update(1, 1_910, 0, 0));
    assert_eq!(
        place_until_refused(&mut admission, at(10_000), 9),
        0,
        "expired report"
    );
    let mut admission = Admission::default();
    admission.record_report(at(10_000), load_update(1, 1_910, 0, 0));
    let placed = place_until_refused(&mut admission, at(10_000), 9);
    assert!(
        (7..=11).contains(&placed),
        "at most 64 pending requests divided by 9 members, but one placed {placed}"
    );
}

#[test]
fn an_idle_target_accepts_one_burst_per_probe_interval() {
    let mut admission = Admission::default();
    let burst = place_until_refused(&mut admission, at(1_000), 1);
    assert_eq!(burst, 250);
    assert_eq!(place_until_refused(&mut admission, at(1_100), 1), 0);
    assert_eq!(place_until_refused(&mut admission, at(1_600), 1), 250);
}

#[test]
fn an_expired_report_grants_the_completion_rate() {
    let mut admission = Admission::default();
    admission.record_report(at(0), load_update(1, 1_500, 100, 40));
    let granted = place_until_refused(&mut admission, at(3_000), 9);
    assert_eq!(granted, 14, "120 completed requests divided by 9 members");
}

#[test]
fn a_report_with_an_older_version_is_ignored() {
    let mut admission = Admission::default();
    assert!(admission.record_report(at(0), load_update(5, 10, 0, 0)));
    assert!(!admission.record_report(at(1), load_update(4, 2_000, 0, 0)));
    assert_eq!(admission.last_report().map(|r| r.open), Some(10));
}
