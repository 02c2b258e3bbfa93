//! The copy of the store's keys.

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
        value: Some(revision.to_string().into_bytes()),
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

/// Plays an answer and returns the updates as short texts.
fn play(mirror: &mut Mirror, at: u64, answer: StoreResponse) -> Vec<String> {
    let mut updates = Vec::new();
    mirror.handle_response(ms(at), answer, &mut updates);
    updates.iter().map(text).collect()
}

fn text(update: &Update) -> String {
    match update {
        Update::Written { key, revision, .. } => format!("{key}={revision}"),
        Update::Removed { key, .. } => format!("-{key}"),
        Update::Complete => "complete".to_owned(),
        Update::Current => "current".to_owned(),
    }
}

fn started() -> Mirror {
    let mut mirror = Mirror::new(Options::default(), 1);
    play(&mut mirror, 0, page(vec![item("a", 1), item("b", 2)], 5));
    mirror
}

#[test]
fn the_first_read_is_a_cheap_one_and_a_watch_follows_it() {
    let mut mirror = Mirror::new(Options::default(), 1);
    let first = Call::Range {
        after: None,
        stale: true,
    };
    assert_eq!(mirror.next_call(ms(0)), first);
    let answer = StoreResponse::Page {
        items: vec![item("a", 1)],
        has_more: true,
        as_of: 5,
    };
    assert_eq!(play(&mut mirror, 1, answer), ["a=1"]);
    let next = Call::Range {
        after: Some("a".to_owned()),
        stale: true,
    };
    assert_eq!(mirror.next_call(ms(1)), next);
    assert_eq!(
        play(&mut mirror, 2, page(vec![item("b", 7)], 8)),
        ["b=7", "complete"]
    );
    let wait = Options::default().watch_wait;
    assert_eq!(mirror.next_call(ms(2)), Call::Watch { after: 5, wait });
}

// Found on a sweep of 300 entry VMs: a later stale page was older than the first,
// and the targets that had come in between were never seen.
#[test]
fn a_watch_goes_on_from_the_oldest_page() {
    let mut mirror = Mirror::new(Options::default(), 1);
    let first = StoreResponse::Page {
        items: vec![item("a", 1)],
        has_more: true,
        as_of: 9,
    };
    play(&mut mirror, 0, first);
    play(&mut mirror, 1, page(vec![item("b", 2)], 6));
    assert!(matches!(
        mirror.next_call(ms(1)),
        Call::Watch { after: 6, .. }
    ));
    assert_eq!(
        play(&mut mirror, 2, events(vec![item("c", 8)], 9)),
        ["c=8", "current"]
    );
}

#[test]
fn nothing_goes_back() {
    let mut mirror = started();
    let answer = events(
        vec![item("a", 9), item("a", 7), removal("b", 10), item("b", 3)],
        10,
    );
    assert_eq!(play(&mut mirror, 1, answer), ["a=9", "current", "-b"]);
    let stale = page(vec![item("a", 1), item("b", 2)], 4);
    assert_eq!(play(&mut mirror, 2, stale), Vec::<String>::new());
    assert_eq!(mirror.revision(), 10);
}

#[test]
fn after_lost_history_all_keys_are_read_and_missing_ones_are_gone() {
    let mut mirror = started();
    play(&mut mirror, 1, StoreResponse::Compacted);
    let fresh = Call::Range {
        after: None,
        stale: false,
    };
    assert_eq!(mirror.next_call(ms(1)), fresh);
    let answer = page(vec![item("a", 1), item("c", 20)], 30);
    assert_eq!(play(&mut mirror, 2, answer), ["c=20", "current", "-b"]);
    assert!(matches!(
        mirror.next_call(ms(2)),
        Call::Watch { after: 30, .. }
    ));
}

#[test]
fn removals_wait_after_an_outage_for_owners_to_write_again() {
    let mut mirror = started();
    assert!(play(&mut mirror, 1_000, StoreResponse::Failed).is_empty());
    let lapsed = events(vec![removal("a", 6), removal("b", 7)], 7);
    assert_eq!(play(&mut mirror, 6_000, lapsed), ["current"]);
    let hold = Options::default().removal_hold;
    match mirror.next_call(ms(6_000)) {
        Call::Watch { wait, .. } => assert!(wait <= hold),
        other => panic!("{other:?}"),
    }
    assert_eq!(
        play(&mut mirror, 7_000, events(vec![item("a", 8)], 8)),
        ["a=8", "current"]
    );
    let end = 6_000 + hold.as_millis();
    assert_eq!(play(&mut mirror, end, events(vec![], 8)), ["current", "-b"]);
}

#[test]
fn failures_are_answered_by_pauses_that_grow_and_end() {
    let mut mirror = started();
    let options = Options::default();
    let mut longest = Duration::ZERO;
    for at in 0..20 {
        play(&mut mirror, at, StoreResponse::Failed);
        let Call::Backoff(span) = mirror.next_call(ms(at)) else {
            panic!("a failed call is not repeated at once");
        };
        assert!(span <= options.longest_pause);
        longest = longest.max(span);
        mirror.end_backoff();
        assert!(matches!(
            mirror.next_call(ms(at)),
            Call::Watch { after: 5, .. }
        ));
    }
    assert!(longest > options.retry_pause);
}
