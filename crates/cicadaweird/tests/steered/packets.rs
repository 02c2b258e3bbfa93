//! Forwarding of packets by daemon processes.

use cicadaweir_platform::packet::{HEADER_BYTES, TARGET_ID_BYTES};

use crate::PROGRAM;
use cicadaweir_standins::steered::{
    ACK, ROUTE_PORT, SYN, Site, packet, packet_from_caller, target_cookie, target_identity,
};

#[test]
fn all_packets_of_a_flow_reach_the_same_target_through_any_daemon() {
    let site = Site::start(PROGRAM, 1, 3);
    let daemons = [site.daemon(1, &[1]), site.daemon(2, &[1])];
    for daemon in &daemons {
        site.wait_ready(daemon);
    }
    let sent = packet(40_001, ROUTE_PORT, SYN, 0, &[]);
    let (target, got) = site.send_until_delivered(&daemons[0], &sent);
    assert_eq!(
        got[..TARGET_ID_BYTES],
        target_identity(target).0.to_be_bytes()
    );
    let inner = &got[TARGET_ID_BYTES..];
    assert_eq!(inner[..28], sent[..28], "only the cookie may change");
    assert_eq!(inner[28..32], target_cookie(target).to_be_bytes());
    for daemon in &daemons {
        let sent = packet(40_001, ROUTE_PORT, ACK, target_cookie(target), b"a request");
        let (receiver, got) = site.send_until_delivered(daemon, &sent);
        assert_eq!(receiver, target);
        assert_eq!(got[TARGET_ID_BYTES + HEADER_BYTES..], *b"a request");
    }
}

#[test]
fn a_flow_survives_a_restart_of_the_daemon_that_placed_it() {
    let site = Site::start(PROGRAM, 2, 3);
    let first = site.daemon(1, &[1]);
    site.wait_ready(&first);
    let (target, _) = site.send_until_delivered(&first, &packet(40_002, ROUTE_PORT, SYN, 0, &[]));
    drop(first);
    let restarted = site.daemon(1, &[1]);
    let sent = packet(40_002, ROUTE_PORT, ACK, target_cookie(target), b"more");
    assert_eq!(site.send_until_delivered(&restarted, &sent).0, target);
}

#[test]
fn an_opening_to_an_unknown_route_is_answered_with_a_reset() {
    let site = Site::start(PROGRAM, 3, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    let reset = site.send_until_answered(&daemon, &packet_from_caller(&site, 40_003, 9_999, SYN));
    assert_eq!(reset.len(), HEADER_BYTES);
    // The flags: only RST.
    assert_eq!(reset[20], 16);
    assert_eq!(reset[..2], 40_003u16.to_be_bytes());
    assert_eq!(reset[24..28], [0; 4], "expected a zero checksum");
    daemon.wait_line(&["flow reset", "reason=no_route", ":40003"]);
}

#[test]
fn draining_targets_get_no_new_flows_and_keep_existing_ones() {
    let site = Site::start(PROGRAM, 4, 2);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    let (target, _) = site.send_until_delivered(&daemon, &packet(40_004, ROUTE_PORT, SYN, 0, &[]));
    site.put_target(target, "draining");
    daemon.wait_line(&["target changed", "state=Draining"]);
    for caller in 1..20 {
        let (other, _) =
            site.send_until_delivered(&daemon, &packet(caller, ROUTE_PORT, SYN, 0, &[]));
        assert_ne!(other, target);
    }
    let sent = packet(40_004, ROUTE_PORT, ACK, target_cookie(target), b"on");
    assert_eq!(site.send_until_delivered(&daemon, &sent).0, target);
}

#[test]
fn metrics_count_decisions_waits_and_targets() {
    let site = Site::start(PROGRAM, 5, 2);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    site.send_until_delivered(&daemon, &packet(40_005, ROUTE_PORT, SYN, 0, &[]));
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
