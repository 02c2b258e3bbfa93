//! Marks, admission and refusal.

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

fn open(open: u32) -> ProbeResult {
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
fn three_failures_take_a_target_down_and_it_ramps_up_again() {
    let mut prober = Prober::new();
    assert_eq!(prober.probe(ProbeResult::Silent), Mark::Normal);
    assert_eq!(prober.probe(ProbeResult::Unhealthy), Mark::Normal);
    assert_eq!(prober.probe(ProbeResult::Silent), Mark::Down);
    assert_eq!(prober.probe(open(0)), Mark::Down);
    assert_eq!(prober.probe(open(0)), Mark::Down);
    assert_eq!(prober.probe(open(0)), Mark::Ramping);
    for _ in 0..40 {
        prober.probe(open(10));
    }
    assert_eq!(prober.mark, Mark::Settled, "never plain normal again");
}

#[test]
fn a_target_that_answers_probes_but_no_caller_is_held_down_for_longer_each_time() {
    let mut prober = Prober::new();
    let mut downs = Vec::new();
    let mut down_since = None;
    for _ in 0..240 {
        for _ in 0..8 {
            prober.passive.opening();
        }
        let before = prober.mark;
        let mark = prober.probe(open(0));
        if mark == Mark::Down && before != Mark::Down {
            down_since = Some(prober.now);
        }
        if mark != Mark::Down && before == Mark::Down {
            downs.extend(down_since.map(|since| prober.now - since));
        }
    }
    assert!(downs.len() >= 2, "{downs:?}");
    assert!(downs[0] >= 10_000 && downs[1] >= 20_000, "{downs:?}");
}

#[test]
fn a_hot_target_cools_with_hysteresis() {
    let mut prober = Prober::new();
    assert_eq!(prober.probe(open(1_860)), Mark::Hot);
    assert_eq!(prober.probe(open(1_700)), Mark::Hot);
    assert_eq!(prober.probe(open(1_500)), Mark::Settled);
}

#[test]
fn a_draining_target_gets_no_new_work() {
    let mut prober = Prober::new();
    let draining = ProbeResult::Healthy(Report {
        draining: true,
        ..Report::default()
    });
    assert_eq!(prober.probe(draining), Mark::Down);
}

fn loaded(version: u32, open: u32, pending: u32, rate: u32) -> LoadUpdate {
    LoadUpdate {
        target: TargetKey(0),
        version,
        open,
        pending,
        rate,
    }
}

fn admitted(admission: &mut Admission, now: Instant, members: usize) -> u32 {
    let options = Options::default();
    let mut count = 0;
    while admission.admits(now, LIMITS, members, &options) && count < 10_000 {
        admission.record_placement(now, &options);
        count += 1;
    }
    count
}

#[test]
fn the_room_of_a_nearly_full_target_is_divided_among_the_members() {
    let mut admission = Admission::default();
    admission.report(at(0), loaded(1, 1_910, 0, 0));
    assert_eq!(admitted(&mut admission, at(10_000), 9), 0, "an old report");
    let mut admission = Admission::default();
    admission.report(at(10_000), loaded(1, 1_910, 0, 0));
    let each = admitted(&mut admission, at(10_000), 9);
    assert!(
        (7..=11).contains(&each),
        "64 pending at most over 9 members: {each}"
    );
}

#[test]
fn an_idle_target_takes_a_burst_and_no_more_within_an_interval() {
    let mut admission = Admission::default();
    let burst = admitted(&mut admission, at(1_000), 1);
    assert_eq!(burst, 250);
    assert_eq!(admitted(&mut admission, at(1_100), 1), 0);
    assert_eq!(admitted(&mut admission, at(1_600), 1), 250);
}

#[test]
fn an_old_report_grants_what_the_target_completes() {
    let mut admission = Admission::default();
    admission.report(at(0), loaded(1, 1_500, 100, 40));
    let granted = admitted(&mut admission, at(3_000), 9);
    assert_eq!(granted, 14, "120 completed over 9 members");
}

#[test]
fn a_report_of_an_earlier_version_is_ignored() {
    let mut admission = Admission::default();
    assert!(admission.report(at(0), loaded(5, 10, 0, 0)));
    assert!(!admission.report(at(1), loaded(4, 2_000, 0, 0)));
    assert_eq!(admission.last_report().map(|r| r.open), Some(10));
}
