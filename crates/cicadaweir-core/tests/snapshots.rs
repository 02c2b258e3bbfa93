//! Newcomers that take a catalog in parts.

mod support;

use std::sync::Arc;

use cicadaweir_core::{
    catalog::{Catalog, Change, InvalidSnapshot, Part},
    flow::Protocol,
    message::{Gossip, Message},
    node::{Node, Options},
    placement,
    prelude::*,
};
use support::{KEY, flow, member, note, service, target};

/// A catalog with a withdrawn target, a withdrawn service and 40 services.
fn replayed() -> Catalog {
    let mut catalog = Catalog::new(placement::Options::default());
    let many = (1..=40)
        .map(|n| service(&format!("s{n}"), &format!("203.0.113.{n}:443"), 1..4))
        .collect();
    let later = vec![
        Change::WithdrawTarget {
            service: "s1".into(),
            target: "t1".into(),
        },
        Change::AddTarget {
            service: "s1".into(),
            target: target("t9", 9),
        },
        Change::WithdrawService {
            service: "s2".into(),
        },
    ];
    catalog.apply(&note(1, many)).expect("fits");
    catalog.apply(&note(2, later)).expect("fits");
    catalog.supersede(Revision(2), Instant::START);
    catalog
}

fn parts(catalog: &Catalog, now: Instant) -> Vec<Part> {
    (0..catalog.parts())
        .filter_map(|n| catalog.part(n, now))
        .collect()
}

#[test]
fn a_catalog_from_parts_says_the_same_as_the_notes() {
    let catalog = replayed();
    let now = Instant::START + Duration::from_secs(60);
    let options = placement::Options::default();
    let copy = Catalog::from_parts(&parts(&catalog, now), options, now).expect("whole");
    assert_eq!(copy.revision(), catalog.revision());
    for ((key, a), (_, b)) in catalog.services().zip(copy.services()) {
        assert_eq!(
            (&a.name, &a.targets, a.withdrawn),
            (&b.name, &b.targets, b.withdrawn)
        );
        assert_eq!(a.generations, b.generations, "{}", a.name);
        for bucket in 0..placement::BUCKETS as u16 {
            assert_eq!(a.is_ambiguous(bucket), b.is_ambiguous(bucket));
        }
        for &address in &a.addresses {
            assert_eq!(catalog.address(address), copy.address(address));
        }
        assert_eq!(copy.service_named(&a.name), Some(key));
    }
    let next = note(
        3,
        vec![Change::AddTarget {
            service: "s3".into(),
            target: target("t8", 8),
        }],
    );
    let (mut a, mut b) = (catalog, copy);
    assert_eq!(a.apply(&next), b.apply(&next), "both go on alike");
}

#[test]
fn missing_or_mixed_parts_make_no_catalog() {
    let whole = parts(&replayed(), Instant::START);
    assert!(whole.len() > 4);
    let try_parts = |parts: &[Part]| {
        Catalog::from_parts(parts, placement::Options::default(), Instant::START).map(|_| ())
    };
    assert_eq!(try_parts(&[]), Err(InvalidSnapshot));
    assert_eq!(try_parts(&whole[1..]), Err(InvalidSnapshot));
    assert_eq!(try_parts(&whole[..whole.len() - 1]), Err(InvalidSnapshot));
    let mut mixed = whole.clone();
    mixed[1].revision = Revision(9);
    assert_eq!(try_parts(&mixed), Err(InvalidSnapshot));
    let mut swapped = whole;
    swapped.swap(0, 1);
    assert_eq!(try_parts(&swapped), Err(InvalidSnapshot));
}

/// A node that has replayed more notes than a newcomer should.
fn experienced() -> Node {
    let mut node = Node::new(Options::default(), KEY, member(1), Instant::START);
    let mut out = Vec::new();
    let first = note(1, vec![service("board", "203.0.113.1:443", 1..4)]);
    node.handle(Instant::START, Event::Note(Arc::new(first)), &mut out);
    for revision in 2..=100 {
        let mut changed = target("t1", 1);
        changed.weight = 100 + (revision % 7) as u16;
        let change = Change::ChangeTarget {
            service: "board".into(),
            target: changed,
        };
        let next = note(revision, vec![change]);
        node.handle(Instant::START, Event::Note(Arc::new(next)), &mut out);
    }
    node
}

#[test]
fn a_newcomer_far_behind_takes_a_peers_catalog_and_agrees_with_it() {
    let mut peer = experienced();
    let mut newcomer = Node::new(Options::default(), KEY, member(0), Instant::START);
    let gossip = Gossip {
        known: peer.known_revision(),
        members: vec![member(1)],
        ..Gossip::default()
    };
    let mut out = Vec::new();
    let probe = Message::Probe {
        sequence: 1,
        gossip,
    };
    peer.handle(
        Instant::START,
        Event::Message {
            from: MemberId(0),
            message: Message::Probe {
                sequence: 1,
                gossip: Gossip {
                    members: vec![member(0)],
                    ..Gossip::default()
                },
            },
        },
        &mut Vec::new(),
    );
    newcomer.handle(
        Instant::START,
        Event::Message {
            from: MemberId(1),
            message: probe,
        },
        &mut out,
    );
    let mut parts = 0;
    for _ in 0..50 {
        let mut answers = Vec::new();
        for action in std::mem::take(&mut out) {
            let Action::Send { message, .. } = action else {
                continue;
            };
            let from = MemberId(0);
            peer.handle(
                Instant::START,
                Event::Message { from, message },
                &mut answers,
            );
        }
        for action in answers {
            let Action::Send { message, .. } = action else {
                continue;
            };
            parts += u32::from(matches!(message, Message::Part { .. }));
            let from = MemberId(1);
            newcomer.handle(Instant::START, Event::Message { from, message }, &mut out);
        }
    }
    assert_eq!(newcomer.known_revision(), Revision(100));
    assert!(parts >= 2, "taken in parts, not replayed");
    for port in 1..500 {
        let key = flow(Protocol::Tcp, port);
        let (a, b) = (peer.explain(&key), newcomer.explain(&key));
        let named = |e: Option<cicadaweir_core::node::Explanation>| e.map(|e| (e.base, e.in_force));
        assert_eq!(named(a), named(b));
    }
}
