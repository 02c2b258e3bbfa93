//! Where packets go, and what a node refuses to guess.

mod support;

use cicadaweir_core::{
    catalog::Change,
    flow::Protocol,
    message::{FlowMemory, Message},
    node::Options,
    prelude::*,
    route::RelayHeader,
};
use std::sync::Arc;
use support::{Driver, endpoint, flow, member, note, service, target};

fn two_services() -> Vec<Change> {
    vec![
        service("board", "203.0.113.1:443", 1..4),
        service("sheet", "203.0.113.2:443", 11..13),
    ]
}

fn add_target() -> Change {
    Change::AddTarget {
        service: "board".into(),
        target: target("t4", 4),
    }
}

fn alone() -> Driver {
    Driver::active(Options::default(), &[], two_services())
}

/// A TCP flow whose bucket has another target in the second generation, by
/// port; the new target's name is `t4`.
fn moved_flow(driver: &mut Driver, protocol: Protocol) -> FlowKey {
    driver.event(Event::Note(Arc::new(note(2, vec![add_target()]))));
    for _ in 0..300 {
        driver.tick_answered();
    }
    assert_eq!(driver.node.in_force(), Revision(2));
    (1..2_000)
        .map(|port| flow(protocol, port))
        .find(|f| {
            let e = driver.node.explain(f).expect("an address");
            let owned = e.owner == Some(MemberId(0));
            e.ambiguous && e.in_force == "t4" && owned
        })
        .expect("some bucket moves")
}

#[test]
fn an_unknown_address_is_discarded_and_counted() {
    let mut driver = alone();
    let mut elsewhere = flow(Protocol::Tcp, 1);
    elsewhere.address = endpoint("203.0.113.77:443");
    let out = driver.caller(elsewhere, PacketKind::Opening);
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::AddressUnknown,
            ..
        }]
    ));
    let count = driver
        .node
        .counters()
        .errors
        .get(&ErrorKind::AddressUnknown);
    assert_eq!(count, Some(&1));
}

#[test]
fn all_packets_of_a_flow_reach_one_target_of_its_own_service() {
    let mut driver = alone();
    for port in 1..400 {
        for host in [1, 2] {
            let mut key = flow(Protocol::Tcp, port);
            key.address = endpoint(&format!("203.0.113.{host}:443"));
            let opened = driver.caller(key, PacketKind::Opening);
            let first = driver.forwarded(&opened).expect("placed");
            let data = driver.caller(key, PacketKind::Data);
            assert_eq!(driver.forwarded(&data), Some(first.clone()));
            let board = ["t1", "t2", "t3"].contains(&first.as_str());
            assert_eq!(board, host == 1, "{first} for service {host}");
        }
    }
}

#[test]
fn an_answer_from_a_target_of_another_service_is_not_handed_on() {
    let mut driver = alone();
    let out = driver.target(flow(Protocol::Tcp, 1), PacketKind::Data, "10.0.0.11:6081");
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::AnswerFromStranger,
            ..
        }]
    ));
}

#[test]
fn an_answer_teaches_the_flows_target() {
    let mut driver = alone();
    let key = moved_flow(&mut driver, Protocol::Tcp);
    driver.target(key, PacketKind::OpeningAnswer, "10.0.0.4:6081");
    let out = driver.caller(key, PacketKind::Data);
    assert_eq!(driver.forwarded(&out).as_deref(), Some("t4"));
}

#[test]
fn the_reset_of_a_target_that_is_not_the_flows_own_is_dropped() {
    let mut driver = alone();
    let key = moved_flow(&mut driver, Protocol::Tcp);
    driver.target(key, PacketKind::OpeningAnswer, "10.0.0.4:6081");
    let base = driver.node.explain(&key).expect("an address").base;
    let from = format!("10.0.0.{}:6081", &base[1..]);
    let out = driver.target(key, PacketKind::Reset, &from);
    assert!(matches!(out[..], [Action::Discard { .. }]), "{out:?}");
}

#[test]
fn the_owner_places_new_flows_by_the_note_in_force_and_old_ones_by_the_base() {
    let mut driver = alone();
    let key = moved_flow(&mut driver, Protocol::Tcp);
    let old = driver.caller(key, PacketKind::Data);
    let base = driver.node.explain(&key).expect("an address").base;
    assert_eq!(driver.forwarded(&old), Some(base));
    let mut driver = alone();
    let key = moved_flow(&mut driver, Protocol::Tcp);
    let new = driver.caller(key, PacketKind::Opening);
    assert_eq!(driver.forwarded(&new).as_deref(), Some("t4"));
    let data = driver.caller(key, PacketKind::Data);
    assert_eq!(driver.forwarded(&data).as_deref(), Some("t4"));
}

#[test]
fn a_wrong_publishers_clock_ends_no_generation() {
    let mut driver = alone();
    let mut dated = note(2, vec![add_target()]);
    dated.published_ms = 1;
    driver.event(Event::Note(Arc::new(dated)));
    let key = driver.node.catalog().service_named("board").expect("known");
    assert_eq!(driver.node.catalog().service(key).generations.len(), 2);
}

#[test]
fn a_packet_whose_owner_is_another_member_is_relayed_and_not_for_ever() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    driver.event(Event::Note(Arc::new(note(2, vec![add_target()]))));
    let key = (1..4_000)
        .map(|port| flow(Protocol::Tcp, port))
        .find(|f| {
            let e = driver.node.explain(f).expect("an address");
            e.ambiguous && e.owner == Some(MemberId(1))
        })
        .expect("some bucket is another's");
    let out = driver.caller(key, PacketKind::Data);
    let Some(Action::Relay { to, header, .. }) = out.first() else {
        panic!("{out:?}");
    };
    assert_eq!((*to, header.hops), (MemberId(1), 1));
    let header = RelayHeader {
        from: MemberId(2),
        hops: cicadaweir_core::route::MAX_HOPS,
        ..*header
    };
    let out = driver.event(Event::Relayed {
        packet: PacketRef(1),
        info: support::packet(key, PacketKind::Data),
        header,
    });
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::RelayHops,
            ..
        }]
    ));
}

#[test]
fn a_paused_member_chooses_nothing_until_another_has_answered() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    driver.now += Duration::from_secs(5);
    driver.event(Event::Tick);
    let out = driver.caller(flow(Protocol::Tcp, 9), PacketKind::Opening);
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::Behind,
            ..
        }]
    ));
    for _ in 0..50 {
        driver.tick_answered();
    }
    let out = driver.caller(flow(Protocol::Tcp, 9), PacketKind::Opening);
    assert!(driver.forwarded(&out).is_some(), "{out:?}");
}

#[test]
fn a_member_that_hears_nobody_serves_by_itself_after_a_while() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    driver.now += Duration::from_secs(5);
    for _ in 0..300 {
        driver.tick();
    }
    let out = driver.caller(flow(Protocol::Tcp, 9), PacketKind::Opening);
    assert!(driver.forwarded(&out).is_some(), "{out:?}");
}

fn lookups(actions: &[Action]) -> Vec<(MemberId, u64)> {
    let each = |a: &Action| match a {
        Action::Send {
            to,
            message: Message::Lookup { flow_hash },
        } => Some((*to, *flow_hash)),
        _ => None,
    };
    actions.iter().filter_map(each).collect()
}

#[test]
fn a_datagram_of_an_unknown_flow_waits_until_all_others_have_spoken() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = moved_flow(&mut driver, Protocol::Udp);
    let out = driver.caller(key, PacketKind::Datagram);
    let asked = lookups(&out);
    assert_eq!(asked.len(), 2, "{out:?}");
    let (_, flow_hash) = asked[0];
    let unknown = Message::LookupAnswer {
        flow_hash,
        memory: None,
    };
    let out = driver.message(1, unknown.clone());
    assert!(driver.forwarded(&out).is_none(), "one has not spoken");
    let out = driver.message(2, unknown);
    assert_eq!(driver.forwarded(&out).as_deref(), Some("t4"));
}

#[test]
fn a_datagram_that_another_member_delivered_goes_to_the_same_target() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = moved_flow(&mut driver, Protocol::Udp);
    let out = driver.caller(key, PacketKind::Datagram);
    let (from, flow_hash) = lookups(&out)[0];
    let base = driver.node.explain(&key).expect("an address").base;
    let (target, _) = driver
        .node
        .catalog()
        .targets()
        .find(|(_, t)| t.spec.name == base)
        .expect("known");
    let memory = Some(FlowMemory {
        target,
        target_silence: Duration::ZERO,
        unanswered: false,
    });
    let out = driver.message(from.0, Message::LookupAnswer { flow_hash, memory });
    assert_eq!(driver.forwarded(&out), Some(base));
}

#[test]
fn a_datagram_stays_unanswered_while_a_witness_is_missing() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = moved_flow(&mut driver, Protocol::Udp);
    let dead = cicadaweir_core::membership::MemberUpdate {
        health: cicadaweir_core::membership::Health::Dead,
        ..member(2)
    };
    driver.gossip(1, vec![dead]);
    for _ in 0..200 {
        driver.tick_answered();
    }
    let out = driver.caller(key, PacketKind::Datagram);
    let asked = lookups(&out);
    assert_eq!(asked.len(), 1, "the dead one can't be asked: {out:?}");
    let unknown = Message::LookupAnswer {
        flow_hash: asked[0].1,
        memory: None,
    };
    let out = driver.message(1, unknown);
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::WitnessMissing,
            ..
        }]
    ));
}

#[test]
fn a_lookup_that_is_not_answered_in_time_is_not_guessed() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = moved_flow(&mut driver, Protocol::Udp);
    driver.caller(key, PacketKind::Datagram);
    let mut discarded = false;
    for _ in 0..20 {
        let out = driver.tick();
        discarded |= out.iter().any(|a| {
            matches!(
                a,
                Action::Discard {
                    kind: ErrorKind::LookupTimeout,
                    ..
                }
            )
        });
        assert!(driver.forwarded(&out).is_none());
    }
    assert!(discarded);
}

#[test]
fn a_message_of_a_stranger_is_ignored_and_counted() {
    let mut driver = alone();
    let out = driver.message(77, Message::NotesWanted { have: Revision(0) });
    assert!(out.is_empty());
    let count = driver.node.counters().errors.get(&ErrorKind::PeerUnknown);
    assert_eq!(count, Some(&1));
}

#[test]
fn a_silent_flow_is_reset_and_a_quiet_one_is_not() {
    let mut driver = alone();
    let silent = flow(Protocol::Tcp, 1);
    let quiet = flow(Protocol::Tcp, 2);
    for key in [silent, quiet] {
        let out = driver.caller(key, PacketKind::Opening);
        let name = driver.forwarded(&out).expect("placed");
        let from = format!("10.0.0.{}:6081", &name[1..]);
        driver.target(key, PacketKind::OpeningAnswer, &from);
    }
    let mut resets = 0;
    for step in 0..2_400 {
        driver.tick();
        if step % 200 == 0 {
            let out = driver.caller(silent, PacketKind::Data);
            resets += out
                .iter()
                .filter(|a| matches!(a, Action::ResetCaller { .. }))
                .count();
            for port in 100..140 {
                let other = flow(Protocol::Tcp, port);
                for name in ["1", "2", "3"] {
                    let from = format!("10.0.0.{name}:6081");
                    driver.target(other, PacketKind::OpeningAnswer, &from);
                }
            }
        }
    }
    assert!(resets > 0, "the silent flow is reset");
    let out = driver.caller(quiet, PacketKind::Data);
    assert!(driver.forwarded(&out).is_some(), "the quiet one goes on");
}

#[test]
fn a_member_speaks_from_its_known_address_or_introduces_a_newer_one() {
    let driver = Driver::active(Options::default(), &[1], two_services());
    let probe = |record: cicadaweir_core::membership::MemberUpdate| Message::Probe {
        sequence: 1,
        gossip: cicadaweir_core::message::Gossip {
            members: vec![record],
            ..Default::default()
        },
    };
    let known = member(1).address;
    let other = endpoint("10.1.0.99:7070");
    let plain = Message::NotesWanted { have: Revision(0) };
    assert!(driver.node.accepts_source(MemberId(1), &known, &plain));
    assert!(
        !driver.node.accepts_source(MemberId(1), &other, &plain),
        "forged"
    );
    let mut replaced = member(1);
    replaced.address = other;
    assert!(
        !driver
            .node
            .accepts_source(MemberId(1), &other, &probe(replaced)),
        "not newer"
    );
    replaced.incarnation += 1;
    assert!(
        driver
            .node
            .accepts_source(MemberId(1), &other, &probe(replaced)),
        "replaced"
    );
    assert!(
        driver
            .node
            .accepts_source(MemberId(9), &member(9).address, &probe(member(9)))
    );
    assert!(
        !driver
            .node
            .accepts_source(MemberId(9), &other, &probe(member(9))),
        "not its own"
    );
}
