//! Answers to other entry VMs.

use std::net::SocketAddr;

use cicadaweir_core::{
    flow::Endpoint,
    mirror::{
        Admittance, Answer, ChangeRequest, Item, Options, Relay, Requester, StoreResponse, sent_at,
    },
    time::{Duration, Instant},
};

fn ms(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn page(as_of: u64) -> StoreResponse {
    StoreResponse::Page {
        items: vec![Item {
            key: "a".to_owned(),
            value: Some(vec![1].into()),
            revision: 1,
        }],
        has_more: false,
        as_of,
    }
}

fn no_changes(as_of: u64) -> StoreResponse {
    StoreResponse::Events {
        items: Vec::new(),
        as_of,
    }
}

fn follower(zone: &str, number: u8) -> Requester<'_> {
    Requester {
        from: Some(address(number)),
        zone,
        is_seed: false,
    }
}

fn address(number: u8) -> Endpoint {
    Endpoint::from(SocketAddr::from(([10, 0, 0, number], 8_166)))
}

fn request(deadline: u64, confirmed_at: Option<Instant>) -> ChangeRequest {
    ChangeRequest {
        revision: 5,
        deadline: ms(deadline),
        confirmed_at,
    }
}

fn relay() -> Relay {
    let mut relay = Relay::new("a", Options::default());
    relay.record(&page(5), ms(0), false);
    relay
}

#[test]
fn a_stale_read_and_compacted_history_confirm_nothing() {
    let mut relay = Relay::new("a", Options::default());
    relay.record(&page(5), ms(0), true);
    assert_eq!(
        relay.answer(ms(1), &request(100, None)),
        Answer::Unavailable
    );
    assert_eq!(relay.admit(ms(1), follower("a", 1)), Admittance::Refused);
    relay.record(&StoreResponse::Compacted, ms(1), false);
    assert_eq!(
        relay.answer(ms(1), &request(100, None)),
        Answer::Unavailable
    );
    relay.record(&no_changes(5), ms(2), false);
    assert_eq!(relay.admit(ms(3), follower("a", 1)), Admittance::Accepted);
}

#[test]
fn a_confirmation_answers_waiting_requests_without_changes() {
    let mut relay = relay();
    let waiting = request(1_000, relay.confirmed_at());
    assert_eq!(relay.answer(ms(10), &waiting), Answer::Wait);
    relay.record(&no_changes(5), ms(800), false);
    let expected = Answer::Changes(no_changes(5), Duration::from_millis(10));
    assert_eq!(relay.answer(ms(810), &waiting), expected);
}

#[test]
fn a_view_that_is_too_old_is_neither_served_nor_a_reason_to_redirect() {
    let mut relay = relay();
    let limit = Options::default().max_view_age.as_millis();
    assert_eq!(
        relay.admit(ms(limit), follower("b", 1)),
        Admittance::Accepted
    );
    assert_eq!(
        relay.admit(ms(limit), follower("b", 2)),
        Admittance::Redirected(address(1))
    );
    assert!(relay.all(ms(limit)).is_some());
    relay.mark_unavailable();
    relay.record(&no_changes(5), ms(0), false);
    assert_eq!(
        relay.admit(ms(limit + 1), follower("b", 2)),
        Admittance::Refused
    );
    assert_eq!(
        relay.answer(ms(limit + 1), &request(limit + 500, None)),
        Answer::Unavailable
    );
    let (_, age) = relay.all(ms(limit + 1)).expect("all keys, with their age");
    assert_eq!(age, Duration::from_millis(limit + 1));
}

#[test]
fn all_keys_are_served_without_a_source_but_never_as_recent() {
    let mut relay = Relay::new("a", Options::default());
    assert_eq!(relay.all(ms(60_000)), None);
    relay.record(&page(5), ms(60_000), true);
    let (_, age) = relay.all(ms(60_001)).expect("all keys of a stale read");
    assert!(age > Options::default().max_view_age, "{age:?}");
    relay.record(&no_changes(5), ms(60_002), false);
    relay.mark_unavailable();
    let (_, age) = relay.all(ms(90_000)).expect("all keys");
    assert_eq!(age, Duration::from_millis(29_998));
    assert_eq!(
        relay.answer(ms(90_000), &request(90_100, None)),
        Answer::Unavailable
    );
}

#[test]
fn a_seed_is_served_only_while_that_is_allowed_and_never_redirected() {
    let mut relay = relay();
    let seed = Requester {
        is_seed: true,
        ..follower("b", 1)
    };
    assert_eq!(relay.admit(ms(1), seed), Admittance::Refused);
    relay.set_serves_seeds(true);
    assert_eq!(relay.admit(ms(1), follower("b", 2)), Admittance::Accepted);
    assert_eq!(relay.admit(ms(1), seed), Admittance::Accepted);
}

#[test]
fn followers_beyond_the_limit_are_spread_over_those_of_their_zone() {
    let mut relay = relay();
    for number in 1..=8 {
        assert_eq!(
            relay.admit(ms(1), follower("a", number)),
            Admittance::Accepted
        );
    }
    let redirects: Vec<Admittance> = (9..17)
        .map(|number| relay.admit(ms(2), follower("a", number)))
        .collect();
    for number in 1..=8 {
        assert!(redirects.contains(&Admittance::Redirected(address(number))));
    }
    assert_eq!(
        relay.admit(ms(1_700), follower("a", 9)),
        Admittance::Accepted,
        "the earlier followers have not asked since"
    );
}

// A response that lay unread while the process was paused counted as recent.
#[test]
fn a_response_that_was_read_late_is_not_recent() {
    let wait = Duration::from_millis(800);
    let age = Duration::from_millis(30);
    let at_once = sent_at(ms(1_000), wait, ms(1_800), age);
    assert_eq!(at_once, ms(1_770));
    let after_a_pause = sent_at(ms(1_000), wait, ms(60_000), age);
    assert!(after_a_pause <= ms(1_900), "{after_a_pause:?}");
}
