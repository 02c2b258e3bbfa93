//! Routing decisions of a node, and the packets that it must not place.

mod support;

use cicadaweir_core::{
    catalog::Change,
    flow::Protocol,
    message::{FlowRecord, Message},
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

fn single_member() -> Driver {
    Driver::active(Options::default(), &[], two_services())
}

/// Applies a second note that adds target `t4`, and returns a flow whose bucket
/// moves to `t4` and is owned by this member.
fn flow_with_moved_bucket(driver: &mut Driver, protocol: Protocol) -> FlowKey {
    driver.handle(Event::Note(Arc::new(note(2, vec![add_target()]))));
    for _ in 0..300 {
        driver.tick_with_answers();
    }
    assert_eq!(driver.node.in_force(), Revision(2));
    (1..2_000)
        .map(|port| flow(protocol, port))
        .find(|f| {
            let e = driver
                .node
                .explain(f)
                .expect("the address belongs to a service");
            let owned = e.owner == Some(MemberId(0));
            e.ambiguous && e.in_force == "t4" && owned
        })
        .expect("a bucket moves to t4")
}

#[test]
fn an_unknown_address_is_discarded_and_counted() {
    let mut driver = single_member();
    let mut unknown = flow(Protocol::Tcp, 1);
    unknown.address = endpoint("203.0.113.77:443");
    let out = driver.send_from_caller(unknown, PacketKind::Opening);
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
    let mut driver = single_member();
    for port in 1..400 {
        for host in [1, 2] {
            let mut key = flow(Protocol::Tcp, port);
            key.address = endpoint(&format!("203.0.113.{host}:443"));
            let opened = driver.send_from_caller(key, PacketKind::Opening);
            let first = driver
                .forwarded_target(&opened)
                .expect("the opening is placed");
            let data = driver.send_from_caller(key, PacketKind::Data);
            assert_eq!(driver.forwarded_target(&data), Some(first.clone()));
            let board = ["t1", "t2", "t3"].contains(&first.as_str());
            assert_eq!(board, host == 1, "{first} for service {host}");
        }
    }
}

#[test]
fn an_answer_from_a_target_of_another_service_is_not_handed_on() {
    let mut driver = single_member();
    let out = driver.send_from_target(flow(Protocol::Tcp, 1), PacketKind::Data, "10.0.0.11:6081");
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::UnexpectedSource,
            ..
        }]
    ));
}

#[test]
fn a_targets_answer_is_recorded_as_the_flows_target() {
    let mut driver = single_member();
    let key = flow_with_moved_bucket(&mut driver, Protocol::Tcp);
    driver.send_from_target(key, PacketKind::OpeningAnswer, "10.0.0.4:6081");
    let out = driver.send_from_caller(key, PacketKind::Data);
    assert_eq!(driver.forwarded_target(&out).as_deref(), Some("t4"));
}

#[test]
fn a_reset_from_another_target_than_the_flows_own_is_dropped() {
    let mut driver = single_member();
    let key = flow_with_moved_bucket(&mut driver, Protocol::Tcp);
    driver.send_from_target(key, PacketKind::OpeningAnswer, "10.0.0.4:6081");
    let base = driver
        .node
        .explain(&key)
        .expect("the address belongs to a service")
        .base;
    let from = format!("10.0.0.{}:6081", &base[1..]);
    let out = driver.send_from_target(key, PacketKind::Reset, &from);
    assert!(matches!(out[..], [Action::Discard { .. }]), "{out:?}");
}

#[test]
fn the_owner_places_new_flows_by_the_revision_in_force_and_existing_ones_by_the_base() {
    let mut driver = single_member();
    let key = flow_with_moved_bucket(&mut driver, Protocol::Tcp);
    let old = driver.send_from_caller(key, PacketKind::Data);
    let base = driver
        .node
        .explain(&key)
        .expect("the address belongs to a service")
        .base;
    assert_eq!(driver.forwarded_target(&old), Some(base));
    let mut driver = single_member();
    let key = flow_with_moved_bucket(&mut driver, Protocol::Tcp);
    let new = driver.send_from_caller(key, PacketKind::Opening);
    assert_eq!(driver.forwarded_target(&new).as_deref(), Some("t4"));
    let data = driver.send_from_caller(key, PacketKind::Data);
    assert_eq!(driver.forwarded_target(&data).as_deref(), Some("t4"));
}

#[test]
fn a_wrong_publisher_clock_retires_no_generation() {
    let mut driver = single_member();
    let mut old = note(2, vec![add_target()]);
    old.published_ms = 1;
    driver.handle(Event::Note(Arc::new(old)));
    let key = driver
        .node
        .catalog()
        .service_named("board")
        .expect("the name is in the catalog");
    assert_eq!(driver.node.catalog().service(key).generations.len(), 2);
}

#[test]
fn a_packet_is_relayed_to_its_owner_up_to_the_hop_limit() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    driver.handle(Event::Note(Arc::new(note(2, vec![add_target()]))));
    let key = (1..4_000)
        .map(|port| flow(Protocol::Tcp, port))
        .find(|f| {
            let e = driver
                .node
                .explain(f)
                .expect("the address belongs to a service");
            e.ambiguous && e.owner == Some(MemberId(1))
        })
        .expect("another member owns a moved bucket");
    let out = driver.send_from_caller(key, PacketKind::Data);
    let Some(Action::Relay { to, header, .. }) = out.first() else {
        panic!("{out:?}");
    };
    assert_eq!((*to, header.hops), (MemberId(1), 1));
    let header = RelayHeader {
        from: MemberId(2),
        hops: cicadaweir_core::route::MAX_HOPS,
        ..*header
    };
    let out = driver.handle(Event::Relayed {
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
    driver.handle(Event::Tick);
    let out = driver.send_from_caller(flow(Protocol::Tcp, 9), PacketKind::Opening);
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::StateStale,
            ..
        }]
    ));
    for _ in 0..50 {
        driver.tick_with_answers();
    }
    let out = driver.send_from_caller(flow(Protocol::Tcp, 9), PacketKind::Opening);
    assert!(driver.forwarded_target(&out).is_some(), "{out:?}");
}

#[test]
fn an_isolated_member_places_flows_after_the_isolation_timeout() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    driver.now += Duration::from_secs(5);
    for _ in 0..300 {
        driver.tick();
    }
    let out = driver.send_from_caller(flow(Protocol::Tcp, 9), PacketKind::Opening);
    assert!(driver.forwarded_target(&out).is_some(), "{out:?}");
}

/// Returns the queried member and the flow hash of each lookup among `actions`.
fn lookups(actions: &[Action]) -> Vec<(MemberId, u64)> {
    let lookup = |a: &Action| match a {
        Action::Send {
            to,
            message: Message::Lookup { flow_hash },
        } => Some((*to, *flow_hash)),
        _ => None,
    };
    actions.iter().filter_map(lookup).collect()
}

#[test]
fn a_datagram_of_an_unknown_flow_waits_until_all_peers_have_answered() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = flow_with_moved_bucket(&mut driver, Protocol::Udp);
    let out = driver.send_from_caller(key, PacketKind::Datagram);
    let queried = lookups(&out);
    assert_eq!(queried.len(), 2, "{out:?}");
    let (_, flow_hash) = queried[0];
    let unknown = Message::LookupAnswer {
        flow_hash,
        record: None,
    };
    let out = driver.receive_message(1, unknown.clone());
    assert!(
        driver.forwarded_target(&out).is_none(),
        "one peer has not answered"
    );
    let out = driver.receive_message(2, unknown);
    assert_eq!(driver.forwarded_target(&out).as_deref(), Some("t4"));
}

#[test]
fn a_datagram_that_another_member_delivered_goes_to_the_same_target() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = flow_with_moved_bucket(&mut driver, Protocol::Udp);
    let out = driver.send_from_caller(key, PacketKind::Datagram);
    let (from, flow_hash) = lookups(&out)[0];
    let base = driver
        .node
        .explain(&key)
        .expect("the address belongs to a service")
        .base;
    let (target, _) = driver
        .node
        .catalog()
        .targets()
        .find(|(_, t)| t.spec.name == base)
        .expect("the name is in the catalog");
    let record = Some(FlowRecord {
        target,
        target_silence: Duration::ZERO,
        unanswered: false,
    });
    let out = driver.receive_message(from.0, Message::LookupAnswer { flow_hash, record });
    assert_eq!(driver.forwarded_target(&out), Some(base));
}

/// A witness is a member that may have forwarded an earlier copy of the datagram.
#[test]
fn a_datagram_stays_unanswered_while_a_witness_is_missing() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = flow_with_moved_bucket(&mut driver, Protocol::Udp);
    let dead = cicadaweir_core::membership::MemberUpdate {
        health: cicadaweir_core::membership::Health::Dead,
        ..member(2)
    };
    driver.receive_probe(1, vec![dead]);
    for _ in 0..200 {
        driver.tick_with_answers();
    }
    let out = driver.send_from_caller(key, PacketKind::Datagram);
    let queried = lookups(&out);
    assert_eq!(queried.len(), 1, "the dead member is not queried: {out:?}");
    let unknown = Message::LookupAnswer {
        flow_hash: queried[0].1,
        record: None,
    };
    let out = driver.receive_message(1, unknown);
    assert!(matches!(
        out[..],
        [Action::Discard {
            kind: ErrorKind::ForwarderUnreachable,
            ..
        }]
    ));
}

#[test]
fn packets_of_a_lookup_that_times_out_are_discarded() {
    let mut driver = Driver::active(Options::default(), &[1, 2], two_services());
    let key = flow_with_moved_bucket(&mut driver, Protocol::Udp);
    driver.send_from_caller(key, PacketKind::Datagram);
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
        assert!(driver.forwarded_target(&out).is_none());
    }
    assert!(discarded);
}

#[test]
fn a_message_from_an_unknown_member_is_ignored_and_counted() {
    let mut driver = single_member();
    let out = driver.receive_message(77, Message::NotesRequest { have: Revision(0) });
    assert!(out.is_empty());
    let count = driver.node.counters().errors.get(&ErrorKind::PeerUnknown);
    assert_eq!(count, Some(&1));
}

#[test]
fn a_flow_with_a_silent_target_is_reset_and_an_idle_flow_is_not() {
    let mut driver = single_member();
    let silent = flow(Protocol::Tcp, 1);
    let idle = flow(Protocol::Tcp, 2);
    for key in [silent, idle] {
        let out = driver.send_from_caller(key, PacketKind::Opening);
        let name = driver
            .forwarded_target(&out)
            .expect("the opening is placed");
        let from = format!("10.0.0.{}:6081", &name[1..]);
        driver.send_from_target(key, PacketKind::OpeningAnswer, &from);
    }
    let mut resets = 0;
    for step in 0..2_400 {
        driver.tick();
        if step % 200 == 0 {
            let out = driver.send_from_caller(silent, PacketKind::Data);
            resets += out
                .iter()
                .filter(|a| matches!(a, Action::ResetCaller { .. }))
                .count();
            for port in 100..140 {
                let other = flow(Protocol::Tcp, port);
                for name in ["1", "2", "3"] {
                    let from = format!("10.0.0.{name}:6081");
                    driver.send_from_target(other, PacketKind::OpeningAnswer, &from);
                }
            }
        }
    }
    assert!(resets > 0, "the flow with the silent target is reset");
    let out = driver.send_from_caller(idle, PacketKind::Data);
    assert!(
        driver.forwarded_target(&out).is_some(),
        "the idle flow is still forwarded"
    );
}

#[test]
fn messages_are_accepted_from_the_known_address_or_one_in_a_newer_record() {
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
    let plain = Message::NotesRequest { have: Revision(0) };
    assert!(driver.node.accepts_source(MemberId(1), &known, &plain));
    assert!(
        !driver.node.accepts_source(MemberId(1), &other, &plain),
        "a forged source address is rejected"
    );
    let mut replaced = member(1);
    replaced.address = other;
    assert!(
        !driver
            .node
            .accepts_source(MemberId(1), &other, &probe(replaced)),
        "a record that is not newer is rejected"
    );
    replaced.incarnation += 1;
    assert!(
        driver
            .node
            .accepts_source(MemberId(1), &other, &probe(replaced)),
        "a newer record at another address is accepted"
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
        "a source address other than the record's is rejected"
    );
}
