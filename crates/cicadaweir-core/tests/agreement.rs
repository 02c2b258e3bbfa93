//! When a known revision comes into force.

use cicadaweir_core::{
    agreement::{Agreement, Options},
    catalog::Revision,
    membership::MemberId,
    time::{Duration, Instant},
};

fn members(count: u32) -> Vec<MemberId> {
    (0..count).map(MemberId).collect()
}

/// Lets all members tick until nothing is said any more; those in `silent`
/// neither tick nor hear.
fn settle(all: &mut [Agreement], now: Instant, silent: &[usize]) {
    let order = members(all.len() as u32);
    for _ in 0..all.len() {
        for at in 0..all.len() {
            if silent.contains(&at) {
                continue;
            }
            let (report, _) = all[at].tick(now, order[at], &order);
            if let Some(report) = report {
                let parent = report.to.0 as usize;
                if !silent.contains(&parent) {
                    all[parent].record_child_report(order[at], report.known);
                }
            }
        }
        let agreed = all[0].agreed();
        for (at, agreement) in all.iter_mut().enumerate() {
            if !silent.contains(&at) {
                agreement.raise_agreed(agreed);
            }
        }
    }
}

fn fleet(count: usize) -> Vec<Agreement> {
    vec![Agreement::new(Options::default()); count]
}

#[test]
fn nothing_is_in_force_before_every_member_knows_it() {
    let mut all = fleet(40);
    for agreement in all.iter_mut().skip(1) {
        agreement.record_known(Revision(1), Instant::START);
    }
    settle(&mut all, Instant::START, &[]);
    assert!(all.iter().all(|a| a.agreed() == Revision(0)));
    all[0].record_known(Revision(1), Instant::START);
    settle(&mut all, Instant::START, &[]);
    assert!(all.iter().all(|a| a.agreed() == Revision(1)));
}

#[test]
fn a_silent_member_holds_the_others_up_for_the_bound_only() {
    for silent in [0, 1, 8, 39] {
        let mut all = fleet(40);
        for agreement in &mut all {
            agreement.record_known(Revision(1), Instant::START);
        }
        let others = |all: &[Agreement]| {
            let mut rest = all.iter().enumerate().filter(|(at, _)| *at != silent);
            rest.all(|(_, a)| a.agreed() == Revision(1))
        };
        let before = Instant::START + Duration::from_millis(1_900);
        settle(&mut all, before, &[silent]);
        assert!(!others(&all), "member {silent} is waited for");
        let after = Instant::START + Duration::from_millis(2_000);
        settle(&mut all, after, &[silent]);
        assert!(others(&all), "member {silent} is not waited for any longer");
    }
}

#[test]
fn a_later_revision_waits_its_own_time() {
    let mut one = Agreement::new(Options::default());
    let order = members(2);
    one.record_known(Revision(1), Instant::START);
    one.record_known(Revision(2), Instant::START + Duration::from_millis(1_500));
    one.tick(
        Instant::START + Duration::from_millis(2_000),
        order[0],
        &order,
    );
    assert_eq!(one.agreed(), Revision(1));
    one.tick(
        Instant::START + Duration::from_millis(3_500),
        order[0],
        &order,
    );
    assert_eq!(one.agreed(), Revision(2));
}

#[test]
fn what_others_have_in_force_never_goes_past_what_is_known_nor_back() {
    let mut one = Agreement::new(Options::default());
    assert!(!one.raise_agreed(Revision(5)), "the notes are not known");
    one.record_known(Revision(3), Instant::START);
    assert!(one.raise_agreed(Revision(5)));
    assert_eq!(one.agreed(), Revision(3));
    one.raise_agreed(Revision(1));
    assert_eq!(one.agreed(), Revision(3));
}
