//! Building the bucket tables of generations.

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

fn bucket_counts(table: &[TargetKey], count: u32) -> Vec<usize> {
    (0..count)
        .map(|n| table.iter().filter(|t| t.0 == n).count())
        .collect()
}

#[test]
fn no_target_exceeds_its_share_of_buckets_plus_slack() {
    for count in [1, 2, 3, 4, 14, 15, 64] {
        let table = build(1, &targets(count), Options::default());
        let max = bucket_counts(&table, count).into_iter().max().unwrap_or(0);
        let bound = (BUCKETS as f64 / f64::from(count) * 1.02).ceil() as usize;
        assert!(
            max <= bound,
            "one of {count} targets has {max} of {BUCKETS} buckets; expected at most {bound}"
        );
    }
}

#[test]
fn buckets_are_divided_in_proportion_to_weights() {
    let weighted = [(TargetKey(0), 11, 300), (TargetKey(1), 22, 100)];
    let table = build(1, &weighted, Options::default());
    let counts = bucket_counts(&table, 2);
    assert!(
        (760..=784).contains(&counts[0]),
        "buckets per target: {counts:?}"
    );
}

#[test]
fn a_table_is_determined_by_its_arguments() {
    let first = build(9, &targets(14), Options::default());
    assert_eq!(first, build(9, &targets(14), Options::default()));
    assert_ne!(first, build(8, &targets(14), Options::default()));
}

#[test]
fn adding_a_fifteenth_target_moves_less_than_a_fifth_of_the_buckets() {
    let before = build(5, &targets(14), Options::default());
    let after = build(5, &targets(15), Options::default());
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved * 5 < BUCKETS, "{moved} of {BUCKETS} buckets moved");
}

#[test]
fn without_a_bound_the_most_loaded_of_14_targets_exceeds_its_share_by_a_tenth_or_more() {
    let unbounded = Options {
        slack_percent: 1_000,
    };
    let mean_max = (0..20u64)
        .map(|seed| {
            let table = build(seed, &targets(14), unbounded);
            bucket_counts(&table, 14).into_iter().max().unwrap_or(0)
        })
        .sum::<usize>() as f64
        / 20.0;
    let ratio = mean_max * 14.0 / BUCKETS as f64;
    assert!(
        (1.10..1.35).contains(&ratio),
        "ratio to the exact share: {ratio}"
    );
}
