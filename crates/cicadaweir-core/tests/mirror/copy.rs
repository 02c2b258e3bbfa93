//! Updates, calls and backoffs of the mirror.

use cicadaweir_core::{
    mirror::{Call, Item, Mirror, Options, StoreResponse, Update},
    time::{Duration, Instant},
};

fn ms(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Some(revision.to_string().into_bytes().into()),
        revision,
    }
}

fn removal(key: &str, revision: u64) -> Item {
    Item {
        value: None,
        ..item(key, revision)
    }
}

fn page(items: Vec<Item>, as_of: u64) -> StoreResponse {
    StoreResponse::Page {
        items,
        has_more: false,
        as_of,
    }
}

fn events(items: Vec<Item>, as_of: u64) -> StoreResponse {
    StoreResponse::Events { items, as_of }
}

/// Passes a response to the mirror and returns the updates as short texts.
fn respond(mirror: &mut Mirror, at: u64, response: StoreResponse) -> Vec<String> {
    let mut updates = Vec::new();
    mirror.handle_response(ms(at), response, &mut updates);
    updates.iter().map(describe).collect()
}

fn describe(update: &Update) -> String {
    match update {
        Update::Written { key, revision, .. } => format!("{key}={revision}"),
        Update::Removed { key, .. } => format!("-{key}"),
        Update::Complete => "complete".to_owned(),
        Update::Current => "current".to_owned(),
    }
}

fn complete_mirror() -> Mirror {
    let mut mirror = Mirror::new(Options::default(), 1);
    respond(&mut mirror, 0, page(vec![item("a", 1), item("b", 2)], 5));
    mirror
}

#[test]
fn the_first_read_is_stale_and_is_followed_by_a_watch() {
    let mut mirror = Mirror::new(Options::default(), 1);
    let first = Call::Range {
        after: None,
        stale: true,
    };
    assert_eq!(mirror.next_call(ms(0)), first);
    let response = StoreResponse::Page {
        items: vec![item("a", 1)],
        has_more: true,
        as_of: 5,
    };
    assert_eq!(respond(&mut mirror, 1, response), ["a=1"]);
    let next = Call::Range {
        after: Some("a".to_owned()),
        stale: true,
    };
    assert_eq!(mirror.next_call(ms(1)), next);
    assert_eq!(
        respond(&mut mirror, 2, page(vec![item("b", 7)], 8)),
        ["b=7", "complete"]
    );
    let wait = Options::default().watch_wait;
    assert_eq!(mirror.next_call(ms(2)), Call::Watch { after: 5, wait });
}

// Guards against missed targets: with 300 entry VMs a later stale page was older
// than the first, and targets added between the two revisions were never seen.
#[test]
fn a_watch_starts_after_the_lowest_page_revision() {
    let mut mirror = Mirror::new(Options::default(), 1);
    let first = StoreResponse::Page {
        items: vec![item("a", 1)],
        has_more: true,
        as_of: 9,
    };
    respond(&mut mirror, 0, first);
    respond(&mut mirror, 1, page(vec![item("b", 2)], 6));
    assert!(matches!(
        mirror.next_call(ms(1)),
        Call::Watch { after: 6, .. }
    ));
    assert_eq!(
        respond(&mut mirror, 2, events(vec![item("c", 8)], 9)),
        ["c=8", "current"]
    );
}

#[test]
fn older_revisions_are_ignored() {
    let mut mirror = complete_mirror();
    let response = events(
        vec![item("a", 9), item("a", 7), removal("b", 10), item("b", 3)],
        10,
    );
    assert_eq!(respond(&mut mirror, 1, response), ["a=9", "current", "-b"]);
    let stale = page(vec![item("a", 1), item("b", 2)], 4);
    assert_eq!(respond(&mut mirror, 2, stale), Vec::<String>::new());
    assert_eq!(mirror.revision(), 10);
}

#[test]
fn compaction_triggers_a_full_read_that_removes_missing_keys() {
    let mut mirror = complete_mirror();
    respond(&mut mirror, 1, StoreResponse::Compacted);
    let fresh = Call::Range {
        after: None,
        stale: false,
    };
    assert_eq!(mirror.next_call(ms(1)), fresh);
    let response = page(vec![item("a", 1), item("c", 20)], 30);
    assert_eq!(respond(&mut mirror, 2, response), ["c=20", "current", "-b"]);
    assert!(matches!(
        mirror.next_call(ms(2)),
        Call::Watch { after: 30, .. }
    ));
}

#[test]
fn removals_are_delayed_after_an_outage_so_that_owners_can_rewrite_entries() {
    let mut mirror = complete_mirror();
    assert!(respond(&mut mirror, 1_000, StoreResponse::Failed).is_empty());
    let expired = events(vec![removal("a", 6), removal("b", 7)], 7);
    assert_eq!(respond(&mut mirror, 6_000, expired), ["current"]);
    let removal_delay = Options::default().removal_delay;
    match mirror.next_call(ms(6_000)) {
        Call::Watch { wait, .. } => assert!(wait <= removal_delay),
        other => panic!("{other:?}"),
    }
    assert_eq!(
        respond(&mut mirror, 7_000, events(vec![item("a", 8)], 8)),
        ["a=8", "current"]
    );
    let end = 6_000 + removal_delay.as_millis();
    assert_eq!(
        respond(&mut mirror, end, events(vec![], 8)),
        ["current", "-b"]
    );
}

// The wait of the next watch underflowed when a second outage began long after
// the first had ended.
#[test]
fn a_second_outage_does_not_shorten_the_watch() {
    let mut mirror = complete_mirror();
    respond(&mut mirror, 1_000, StoreResponse::Failed);
    respond(&mut mirror, 2_000, events(vec![], 5));
    let later = 2_000 + Options::default().removal_delay.as_millis() + 500;
    respond(&mut mirror, later, StoreResponse::Failed);
    mirror.end_backoff();
    let expected = Call::Watch {
        after: 5,
        wait: Options::default().watch_wait,
    };
    assert_eq!(mirror.next_call(ms(later + 100)), expected);
}

// Removals after an outage were reported in the order of a hash map, so that the
// same day was not reproducible.
#[test]
fn delayed_removals_are_reported_in_the_order_of_their_arrival() {
    let mut mirror = Mirror::new(Options::default(), 1);
    let keys: Vec<String> = (0..200).map(|n| format!("k{}", n * 7919 % 200)).collect();
    let items = keys.iter().map(|key| item(key, 1)).collect();
    respond(&mut mirror, 0, page(items, 5));
    respond(&mut mirror, 1_000, StoreResponse::Failed);
    let removals = keys.iter().zip(6..).map(|(key, at)| removal(key, at));
    respond(&mut mirror, 2_000, events(removals.collect(), 300));
    let mut reported = respond(&mut mirror, 9_000, events(vec![], 300));
    assert_eq!(reported.remove(0), "current");
    let expected: Vec<String> = keys.iter().map(|key| format!("-{key}")).collect();
    assert_eq!(reported, expected);
}

#[test]
fn keys_missing_from_a_read_are_reported_in_the_order_of_their_arrival() {
    let mut mirror = Mirror::new(Options::default(), 1);
    let keys: Vec<String> = (0..200).map(|n| format!("k{}", n * 7919 % 200)).collect();
    let items = keys.iter().map(|key| item(key, 1)).collect();
    respond(&mut mirror, 0, page(items, 5));
    respond(&mut mirror, 1, StoreResponse::Compacted);
    let mut reported = respond(&mut mirror, 2, page(vec![], 9));
    assert_eq!(reported.remove(0), "current");
    let expected: Vec<String> = keys.iter().map(|key| format!("-{key}")).collect();
    assert_eq!(reported, expected);
}

#[test]
fn repeated_failures_grow_the_backoff_up_to_its_limit() {
    let mut mirror = complete_mirror();
    let options = Options::default();
    let mut longest = Duration::ZERO;
    for at in 0..20 {
        respond(&mut mirror, at, StoreResponse::Failed);
        let Call::Backoff(span) = mirror.next_call(ms(at)) else {
            panic!("expected a backoff after a failed call");
        };
        assert!(span <= options.max_backoff);
        longest = longest.max(span);
        mirror.end_backoff();
        assert!(matches!(
            mirror.next_call(ms(at)),
            Call::Watch { after: 5, .. }
        ));
    }
    assert!(longest > options.initial_backoff);
}

// Guards against refusals for want of targets: an entry VM that started in an outage of the
// store, from the old view of another one, applied the removals of entries that had expired in
// the outage at once (docs/incidents/removals-after-a-start.md).
#[test]
fn removals_are_delayed_after_a_start_from_an_old_view() {
    let mut mirror = complete_mirror();
    mirror.record_outage(ms(10));
    let expired = events(vec![removal("a", 6), removal("b", 7)], 7);
    assert_eq!(respond(&mut mirror, 800, expired), ["current"]);
    let back = events(vec![item("a", 8)], 8);
    assert_eq!(respond(&mut mirror, 1_600, back), ["a=8", "current"]);
    let delay = Options::default().removal_delay.as_millis();
    let later = events(vec![], 8);
    assert_eq!(respond(&mut mirror, 800 + delay, later), ["current", "-b"]);
}
