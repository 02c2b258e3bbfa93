//! Tables of generations.

use cicadaweir_core::{
    catalog::TargetKey,
    hash,
    placement::{BUCKETS, Options, build},
};

fn targets(count: u32) -> Vec<(TargetKey, u64, u16)> {
    (0..count)
        .map(|n| (TargetKey(n), hash::name(&format!("t{n}")), 100))
        .collect()
}

fn shares(table: &[TargetKey], count: u32) -> Vec<usize> {
    (0..count)
        .map(|n| table.iter().filter(|t| t.0 == n).count())
        .collect()
}

#[test]
fn no_target_gets_more_than_its_share_and_the_slack() {
    for count in [1, 2, 3, 4, 14, 15, 64] {
        let table = build(1, &targets(count), Options::default());
        let most = shares(&table, count).into_iter().max().unwrap_or(0);
        let bound = (BUCKETS as f64 / f64::from(count) * 1.02).ceil() as usize;
        assert!(
            most <= bound,
            "{most} of {BUCKETS} buckets for one of {count}"
        );
    }
}

#[test]
fn weights_divide_the_buckets() {
    let weighted = [(TargetKey(0), 11, 300), (TargetKey(1), 22, 100)];
    let table = build(1, &weighted, Options::default());
    let share = shares(&table, 2);
    assert!((760..=784).contains(&share[0]), "{share:?}");
}

#[test]
fn a_table_depends_on_nothing_but_its_arguments() {
    let first = build(9, &targets(14), Options::default());
    assert_eq!(first, build(9, &targets(14), Options::default()));
    assert_ne!(first, build(8, &targets(14), Options::default()));
}

#[test]
fn adding_one_of_fifteen_targets_moves_less_than_a_fifth() {
    let before = build(5, &targets(14), Options::default());
    let after = build(5, &targets(15), Options::default());
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved * 5 < BUCKETS, "{moved} of {BUCKETS} buckets moved");
}

#[test]
fn without_a_bound_the_fullest_of_14_targets_lies_far_above_its_share() {
    let unbounded = Options {
        slack_percent: 1_000,
    };
    let fullest = (0..20u64)
        .map(|seed| {
            let table = build(seed, &targets(14), unbounded);
            shares(&table, 14).into_iter().max().unwrap_or(0)
        })
        .sum::<usize>() as f64
        / 20.0;
    let ratio = fullest * 14.0 / BUCKETS as f64;
    assert!((1.10..1.35).contains(&ratio), "{ratio}");
}
