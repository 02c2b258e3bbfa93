//! Packets through real daemons.

use cicadaweir_platform::packet::{HEADER_BYTES, TARGET_ID_BYTES};

use crate::PROGRAM;
use cicadaweir_standins::steered::{
    ACK, BOARD, SYN, Site, cookie_of, identity_of, packet, packet_of,
};

#[test]
fn an_opening_and_what_follows_it_reach_one_target_through_any_daemon() {
    let site = Site::start(PROGRAM, 1, 3);
    let daemons = [site.daemon(1, &[1]), site.daemon(2, &[1])];
    for daemon in &daemons {
        site.wait_ready(daemon);
    }
    let sent = packet(40_001, BOARD, SYN, 0, &[]);
    let (n, got) = site.deliver(&daemons[0], &sent);
    assert_eq!(got[..TARGET_ID_BYTES], identity_of(n).0.to_be_bytes());
    let inner = &got[TARGET_ID_BYTES..];
    assert_eq!(inner[..28], sent[..28], "nothing but the cookie may change");
    assert_eq!(inner[28..32], cookie_of(n).to_be_bytes());
    for daemon in &daemons {
        let sent = packet(40_001, BOARD, ACK, cookie_of(n), b"a request");
        let (again, got) = site.deliver(daemon, &sent);
        assert_eq!(again, n);
        assert_eq!(got[TARGET_ID_BYTES + HEADER_BYTES..], *b"a request");
    }
}

#[test]
fn a_flow_outlives_the_daemon_that_placed_it() {
    let site = Site::start(PROGRAM, 2, 3);
    let first = site.daemon(1, &[1]);
    site.wait_ready(&first);
    let (n, _) = site.deliver(&first, &packet(40_002, BOARD, SYN, 0, &[]));
    drop(first);
    let next = site.daemon(1, &[1]);
    let sent = packet(40_002, BOARD, ACK, cookie_of(n), b"more");
    assert_eq!(site.deliver(&next, &sent).0, n);
}

#[test]
fn an_unknown_route_is_reset_towards_the_caller() {
    let site = Site::start(PROGRAM, 3, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    let reset = site.answer(&daemon, &packet_of(&site, 40_003, 9_999, SYN));
    assert_eq!(reset.len(), HEADER_BYTES);
    assert_eq!(reset[20], 16);
    assert_eq!(reset[..2], 40_003u16.to_be_bytes());
    assert_eq!(reset[24..28], [0; 4], "no checksum");
    daemon.wait_line(&["flow reset", "reason=no_route", ":40003"]);
}

#[test]
fn draining_targets_get_no_new_flows_and_keep_theirs() {
    let site = Site::start(PROGRAM, 4, 2);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    let (n, _) = site.deliver(&daemon, &packet(40_004, BOARD, SYN, 0, &[]));
    site.put_target(n, "draining");
    daemon.wait_line(&["target changed", "state=Draining"]);
    for caller in 1..20 {
        let (other, _) = site.deliver(&daemon, &packet(caller, BOARD, SYN, 0, &[]));
        assert_ne!(other, n);
    }
    let sent = packet(40_004, BOARD, ACK, cookie_of(n), b"on");
    assert_eq!(site.deliver(&daemon, &sent).0, n);
}

#[test]
fn metrics_tell_decisions_and_waits() {
    let site = Site::start(PROGRAM, 5, 2);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    site.deliver(&daemon, &packet(40_005, BOARD, SYN, 0, &[]));
    let placed = "cicadaweir_packets_total{decision=\"placed\",detail=\"new\"}";
    cicadaweir_standins::steered::wait_until("the opening is counted", || {
        site.metric(&daemon, placed)
            .is_some_and(|count| count >= 1.0)
    });
    assert!(
        site.metric(&daemon, "cicadaweir_opening_wait_seconds_count")
            .is_some()
    );
    assert_eq!(
        site.metric(&daemon, "cicadaweir_targets{state=\"ready\"}"),
        Some(2.0)
    );
}
