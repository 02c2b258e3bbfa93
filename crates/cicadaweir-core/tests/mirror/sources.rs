//! Selection of the store or a peer as the source of each call.

use cicadaweir_core::{
    mirror::{Role, Selection, Source, SourceSelector},
    time::Instant,
};

fn ms(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn the_first_seed_queries_the_store_and_falls_back_to_other_seeds() {
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

// Guards against redundant load: three seeds that all watched the store made
// three calls for each change.
#[test]
fn a_seed_watches_preceding_seeds_and_falls_back_to_the_store() {
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
        "no source responds"
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

// A seed never watches one that follows it in the order, whatever fails.
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
fn a_follower_watches_a_seed_and_reads_all_keys_from_the_store() {
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

// Guards against saturated links: after a restart of 300 entry VMs, each read all
// keys from peers whose history began later than its own revision.
#[test]
fn changes_that_a_peer_has_compacted_come_from_the_store() {
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
    assert!(
        !sources.request_store_read(ms(3)),
        "the store is unavailable"
    );
    assert_eq!(
        sources.select(ms(3), true),
        Selection::Query(Source::Peer(0))
    );
}

// Guards against a thundering herd: in an outage of the store all seeds report
// at the same moment that they have lost it.
#[test]
fn followers_spread_their_first_store_calls_after_losing_all_seeds() {
    let mut first_calls = Vec::new();
    for random in 0..66u64 {
        let mut sources =
            SourceSelector::new(Role::Follower, 3, (random * 977_131 * 8_192) ^ random);
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
fn a_follower_without_seeds_queries_the_store_and_returns_to_a_recovered_seed() {
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

// Guards against changes that take effect late when all seeds are unresponsive: a call to one
// that had failed began just before the store was due (docs/incidents/late-fallback.md).
#[test]
fn a_failed_peer_is_not_called_if_its_timeout_would_delay_the_store() {
    let longest_delay = 599_999 << 32;
    let mut sources = SourceSelector::new(Role::Follower, 2, longest_delay);
    sources.record_result(ms(0), Source::Peer(0), true);
    sources.record_result(ms(1_500), Source::Peer(0), false);
    let untried = Selection::Query(Source::Peer(1));
    assert_eq!(sources.select(ms(1_500), false), untried);
    sources.record_result(ms(2_300), Source::Peer(1), false);
    let Selection::Wait(span) = sources.select(ms(2_300), false) else {
        panic!("the first peer's backoff is over, and the store is due in less than a timeout");
    };
    let due = ms(2_300) + span;
    assert!(due < ms(2_700), "{due:?}");
    assert_eq!(sources.select(due, false), Selection::Query(Source::Store));
}

/// The time from the end of a cut to the first call that a follower makes to the store after
/// it, in milliseconds. All calls time out during the cut, and those to the seeds after it.
fn time_to_store_after_cut(healed_at: u64) -> u64 {
    let timeout = |source| if source == Source::Store { 1_500 } else { 500 };
    let mut sources = SourceSelector::new(Role::Follower, 3, 0);
    let mut now = 0;
    loop {
        match sources.select(ms(now), false) {
            Selection::Query(Source::Store) if now >= healed_at => return now - healed_at,
            Selection::Query(source) => {
                now += timeout(source);
                sources.record_result(ms(now), source, false);
            }
            Selection::Wait(span) => now += span.as_millis().max(1),
        }
    }
}

// Guards against a change that isn't in force when the rules hold again for a follower that was
// cut off: its backoff from the store lasted as long as that takes
// (docs/incidents/long-backoff.md).
#[test]
fn a_follower_calls_the_store_before_the_rules_hold_again_after_a_cut() {
    let worst = (100..30_000).step_by(10).map(time_to_store_after_cut).max();
    let worst = worst.expect("some cuts");
    // `stableMs`, less the time for the call.
    assert!(worst < 4_000 - 200, "{worst} ms after the end of a cut");
}

// Guards against an outage of the store that goes unnoticed, so that removals aren't delayed:
// the seeds have failed too, and their backoff is over (docs/incidents/removals-after-a-start.md).
#[test]
fn a_failed_seed_is_no_hope_for_a_follower_that_loses_the_store() {
    let mut sources = SourceSelector::new(Role::Follower, 1, 0);
    assert!(sources.has_available_peer(ms(0)));
    sources.record_result(ms(0), Source::Peer(0), false);
    sources.record_result(ms(900), Source::Store, false);
    assert!(!sources.has_available_peer(ms(900)));
    sources.record_result(ms(1_000), Source::Peer(0), true);
    assert!(sources.has_available_peer(ms(1_000)));
}

#[test]
fn without_peers_every_call_goes_to_the_store() {
    let mut sources = SourceSelector::new(Role::Follower, 0, 9);
    for at in 0..5 {
        assert_eq!(
            sources.select(ms(at), false),
            Selection::Query(Source::Store)
        );
        sources.record_result(ms(at), Source::Store, false);
    }
}
