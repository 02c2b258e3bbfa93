//! Agreement on the revision that is in force.

use cicadaweir_core::{
    agreement::{Agreement, Options},
    catalog::Revision,
    membership::MemberId,
    time::{Duration, Instant},
};

fn members(count: u32) -> Vec<MemberId> {
    (0..count).map(MemberId).collect()
}

/// Exchanges reports and agreed revisions for as many rounds as there are
/// members, after which the state is stable. Members in `silent` neither send
/// nor receive.
fn run_rounds(all: &mut [Agreement], now: Instant, silent: &[usize]) {
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
fn a_revision_comes_into_force_only_after_every_member_knows_it() {
    let mut all = fleet(40);
    for agreement in all.iter_mut().skip(1) {
        agreement.record_known(Revision(1), Instant::START);
    }
    run_rounds(&mut all, Instant::START, &[]);
    assert!(all.iter().all(|a| a.agreed() == Revision(0)));
    all[0].record_known(Revision(1), Instant::START);
    run_rounds(&mut all, Instant::START, &[]);
    assert!(all.iter().all(|a| a.agreed() == Revision(1)));
}

#[test]
fn a_silent_member_delays_the_others_only_for_the_agreement_timeout() {
    for silent in [0, 1, 8, 39] {
        let mut all = fleet(40);
        for agreement in &mut all {
            agreement.record_known(Revision(1), Instant::START);
        }
        let others_agree = |all: &[Agreement]| {
            let mut others = all.iter().enumerate().filter(|(at, _)| *at != silent);
            others.all(|(_, a)| a.agreed() == Revision(1))
        };
        let before = Instant::START + Duration::from_millis(1_900);
        run_rounds(&mut all, before, &[silent]);
        assert!(
            !others_agree(&all),
            "in force before the timeout although member {silent} is silent"
        );
        let after = Instant::START + Duration::from_millis(2_000);
        run_rounds(&mut all, after, &[silent]);
        assert!(
            others_agree(&all),
            "not in force after the timeout while member {silent} is silent"
        );
    }
}

#[test]
fn each_revision_has_its_own_agreement_timeout() {
    let mut agreement = Agreement::new(Options::default());
    let order = members(2);
    agreement.record_known(Revision(1), Instant::START);
    agreement.record_known(Revision(2), Instant::START + Duration::from_millis(1_500));
    agreement.tick(
        Instant::START + Duration::from_millis(2_000),
        order[0],
        &order,
    );
    assert_eq!(agreement.agreed(), Revision(1));
    agreement.tick(
        Instant::START + Duration::from_millis(3_500),
        order[0],
        &order,
    );
    assert_eq!(agreement.agreed(), Revision(2));
}

#[test]
fn the_agreed_revision_never_exceeds_the_known_one_nor_decreases() {
    let mut agreement = Agreement::new(Options::default());
    assert!(
        !agreement.raise_agreed(Revision(5)),
        "the revision is not known"
    );
    agreement.record_known(Revision(3), Instant::START);
    assert!(agreement.raise_agreed(Revision(5)));
    assert_eq!(agreement.agreed(), Revision(3));
    agreement.raise_agreed(Revision(1));
    assert_eq!(agreement.agreed(), Revision(3));
}
