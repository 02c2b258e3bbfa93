//! Whom to ask.

use cicadaweir_core::{
    mirror::{Role, Selection, Source, SourceSelector},
    time::Instant,
};

fn ms(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn a_seed_asks_the_store_and_then_other_seeds() {
    let mut sources = SourceSelector::new(Role::Seed { leaders: 0 }, 2, 0);
    assert_eq!(
        sources.select(ms(0), false),
        Selection::Query(Source::Store)
    );
    sources.record_result(ms(0), Source::Store, false);
    assert!(matches!(
        sources.select(ms(1), false),
        Selection::Query(Source::Peer(_))
    ));
    assert_eq!(
        sources.select(ms(600), false),
        Selection::Query(Source::Store)
    );
}

// Replays a calm grown day: three seeds that all watched the store made three
// calls of each change.
#[test]
fn a_seed_watches_the_seeds_before_it_and_the_store_when_they_fail() {
    let mut sources = SourceSelector::new(Role::Seed { leaders: 2 }, 2, 1);
    assert_eq!(sources.select(ms(0), true), Selection::Query(Source::Store));
    sources.record_result(ms(0), Source::Store, true);
    assert_eq!(
        sources.select(ms(0), false),
        Selection::Query(Source::Peer(0))
    );
    assert!(!sources.record_result(ms(0), Source::Peer(0), false));
    assert_eq!(
        sources.select(ms(1), false),
        Selection::Query(Source::Peer(1))
    );
    sources.record_result(ms(1), Source::Peer(1), true);
    assert!(
        sources.record_result(ms(1), Source::Peer(1), false),
        "nothing is heard any more"
    );
    assert_eq!(
        sources.select(ms(2), false),
        Selection::Query(Source::Store)
    );
    sources.record_result(ms(2), Source::Store, true);
    assert_eq!(
        sources.select(ms(251), false),
        Selection::Query(Source::Peer(0))
    );
}

// A seed never waits for one that comes after it, whatever fails.
#[test]
fn no_two_seeds_watch_each_other() {
    let mut first = SourceSelector::new(Role::Seed { leaders: 0 }, 2, 1);
    let mut last = SourceSelector::new(Role::Seed { leaders: 2 }, 2, 2);
    first.record_result(ms(0), Source::Store, true);
    last.record_result(ms(0), Source::Store, true);
    assert_eq!(first.select(ms(0), false), Selection::Query(Source::Store));
    assert_eq!(last.select(ms(0), false), Selection::Query(Source::Peer(0)));
    first.record_result(ms(0), Source::Store, false);
    last.record_result(ms(0), Source::Peer(0), false);
    last.record_result(ms(0), Source::Peer(1), false);
    assert_eq!(last.select(ms(1), false), Selection::Query(Source::Store));
}

#[test]
fn the_others_ask_a_seed_and_only_cheap_reads_go_to_the_store() {
    let mut sources = SourceSelector::new(Role::Follower, 3, 1);
    assert_eq!(sources.select(ms(0), true), Selection::Query(Source::Store));
    assert_eq!(
        sources.select(ms(0), false),
        Selection::Query(Source::Peer(1))
    );
    sources.record_result(ms(0), Source::Peer(1), false);
    assert_eq!(
        sources.select(ms(0), false),
        Selection::Query(Source::Peer(2))
    );
}

// Found on a sweep of 300 entry VMs: after a restart of all, each read all keys from
// peers whose history began later than its own, and filled their links.
#[test]
fn what_a_peer_no_longer_keeps_comes_from_the_store() {
    let mut sources = SourceSelector::new(Role::Follower, 1, 0);
    sources.record_result(ms(0), Source::Peer(0), true);
    assert!(sources.request_store_read(ms(0)));
    assert_eq!(
        sources.select(ms(0), false),
        Selection::Query(Source::Store)
    );
    sources.record_result(ms(1), Source::Store, true);
    assert_eq!(
        sources.select(ms(1), false),
        Selection::Query(Source::Peer(0))
    );
    sources.record_result(ms(2), Source::Store, false);
    assert!(!sources.request_store_read(ms(3)), "the store can't be had");
    assert_eq!(
        sources.select(ms(3), true),
        Selection::Query(Source::Peer(0))
    );
}

// Replays a store that goes down under a fleet: the seeds say that they have
// lost it, all at the same moment.
#[test]
fn a_fleet_does_not_fall_on_the_store_at_once() {
    let mut first_calls = Vec::new();
    for draw in 0..66u64 {
        let mut sources = SourceSelector::new(Role::Follower, 3, (draw * 977_131 * 8_192) ^ draw);
        let mut at = 0;
        loop {
            match sources.select(ms(at), false) {
                Selection::Query(Source::Store) => break,
                Selection::Query(source) => {
                    sources.record_result(ms(at), source, false);
                }
                Selection::Wait(span) => at += span.as_millis().max(1),
            }
        }
        first_calls.push(at);
    }
    let early = first_calls.iter().filter(|&&at| at < 600).count();
    assert_eq!(early, 0, "{first_calls:?}");
    assert!(first_calls.iter().all(|&at| at <= 1_250), "{first_calls:?}");
}

#[test]
fn an_entry_vm_alone_goes_to_the_store_and_returns_to_a_seed_that_serves() {
    let mut sources = SourceSelector::new(Role::Follower, 1, 0);
    let mut now = 0;
    let mut calls = 0;
    while now < 10_000 {
        match sources.select(ms(now), false) {
            Selection::Query(Source::Store) => {
                calls += 1;
                sources.record_result(ms(now), Source::Store, false);
            }
            Selection::Query(source) => {
                sources.record_result(ms(now), source, false);
            }
            Selection::Wait(span) => now += span.as_millis().max(1),
        }
    }
    assert!(
        (3..=6).contains(&calls),
        "{calls} calls in ten seconds without the store"
    );
    let peer = Source::Peer(0);
    now += 3_000;
    assert_eq!(
        sources.select(ms(now), false),
        Selection::Query(Source::Store)
    );
    sources.record_result(ms(now), Source::Store, false);
    assert_eq!(sources.select(ms(now), false), Selection::Query(peer));
    sources.record_result(ms(now), peer, true);
    assert_eq!(sources.select(ms(now + 1), false), Selection::Query(peer));
}

#[test]
fn without_peers_the_store_is_all_there_is() {
    let mut sources = SourceSelector::new(Role::Follower, 0, 9);
    for at in 0..5 {
        assert_eq!(
            sources.select(ms(at), false),
            Selection::Query(Source::Store)
        );
        sources.record_result(ms(at), Source::Store, false);
    }
}
