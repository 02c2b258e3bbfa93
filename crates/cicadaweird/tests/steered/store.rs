//! Faults of the store.

use std::time::Duration;

use cicadaweir_standins::store::{Availability, StoreFaults};

use crate::PROGRAM;
use cicadaweir_standins::steered::{ROUTE_PORT, SYN, Site, packet, wait_until};

/// Changes the configuration during a fault of the store, and asserts that the
/// daemon serves while the store is unavailable and applies the change after the
/// fault. With `compact` the store also drops its history. `net` numbers the site's
/// network.
fn assert_recovers_from(net: u8, faults: StoreFaults, compact: bool) {
    let site = Site::start(PROGRAM, net, 2);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    for version in [5, 9] {
        site.store.set_faults(faults);
        site.put_config(version, &[ROUTE_PORT, 81]);
        if compact {
            site.store.compact();
        }
        if faults.availability != Availability::Serving {
            wait_until(
                "the daemon serves with the last known configuration",
                || {
                    site.send_until_delivered(&daemon, &packet(7, ROUTE_PORT, SYN, 0, &[]))
                        .0
                        > 0
                },
            );
        }
        site.store.set_faults(StoreFaults::default());
        site.wait_version(&daemon, version as f64);
    }
    site.put_config(3, &[ROUTE_PORT]);
    site.put_target(1, "draining");
    daemon.wait_line(&["target changed", "state=Draining"]);
    site.wait_version(&daemon, 9.0);
}

#[test]
fn a_daemon_recovers_when_the_store_was_busy() {
    let busy = StoreFaults {
        availability: Availability::Busy,
        ..StoreFaults::default()
    };
    assert_recovers_from(11, busy, false);
}

#[test]
fn a_daemon_recovers_when_the_store_did_not_respond() {
    let silent = StoreFaults {
        availability: Availability::Silent,
        ..StoreFaults::default()
    };
    assert_recovers_from(12, silent, false);
}

#[test]
fn a_daemon_recovers_when_the_store_was_slow() {
    let slow = StoreFaults {
        delay: Duration::from_millis(300),
        ..StoreFaults::default()
    };
    assert_recovers_from(13, slow, false);
}

#[test]
fn a_daemon_recovers_when_the_store_compacted_its_history() {
    assert_recovers_from(14, StoreFaults::default(), true);
}

#[test]
fn a_daemon_catches_up_after_stale_reads_at_the_start() {
    let site = Site::start(PROGRAM, 15, 2);
    site.put_config(6, &[ROUTE_PORT, 81]);
    site.put_config(7, &[ROUTE_PORT, 82]);
    site.store.set_faults(StoreFaults {
        stale_by: 2,
        ..StoreFaults::default()
    });
    let daemon = site.daemon(1, &[1]);
    site.wait_version(&daemon, 7.0);
}

#[test]
fn invalid_entries_and_configurations_do_not_affect_valid_ones() {
    let site = Site::start(PROGRAM, 16, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    site.store.put("servers/i-0a0b", b"\xff\xfe not json");
    site.store
        .put("servers/i-0c0d", br#"{"service":"classes","address":7}"#);
    site.store.put("op/config", b"{}");
    daemon.wait_line(&["configuration rejected"]);
    daemon.wait_line(&["target entry rejected", "i-0c0d"]);
    let (target, _) = site.send_until_delivered(&daemon, &packet(8, ROUTE_PORT, SYN, 0, &[]));
    assert_eq!(target, 1);
}

// Another writer's odd entries, in bulk: the daemon goes on following the store,
// its log stays bounded, and a counter shows how many there were.
#[test]
fn odd_entries_neither_stop_a_daemon_nor_flood_its_log() {
    let site = Site::start(PROGRAM, 18, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    let nested = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let entry = |slots: &str, warmup: &str, address: &str| {
        format!(
            r#"{{"service":"classes","address":"{address}","zone":"a","version":"v1",
            "slots":{slots},"state":"ready","warmupLeftMs":{warmup},"seq":1,"born":1}}"#
        )
    };
    let odd = [
        entry("2", &nested, "127.90.18.101:8602"),
        entry("4294967295", "0", "127.90.18.101:8602"),
        entry("2", "1e300", "127.90.18.101:8602"),
        entry("2", "0", "127.90.18.101:99999"),
    ];
    for n in 0..400 {
        let value = &odd[n % odd.len()];
        site.store.put(
            &format!("servers/i-{:x}", 0xabc0_0000u64 + n as u64),
            value.as_bytes(),
        );
    }
    site.put_config(5, &[ROUTE_PORT, 81]);
    site.wait_version(&daemon, 5.0);
    let metric = r#"cicadaweir_store_values_rejected_total{kind="target"}"#;
    wait_until("all odd entries are counted", || {
        site.metric(&daemon, metric) == Some(400.0)
    });
    daemon.wait_line(&["target entry rejected"]);
    daemon.wait_line(&["log lines suppressed by the rate limit", "kind=rejected"]);
    let (target, _) = site.send_until_delivered(&daemon, &packet(8, ROUTE_PORT, SYN, 0, &[]));
    assert_eq!(target, 1);
}

// Seen on compas-quito-large: 650 lines at each start.
#[test]
fn changes_of_many_targets_do_not_flood_the_log() {
    let site = Site::start(PROGRAM, 19, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    for n in 2..=150 {
        site.put_target(n, "ready");
    }
    let metric = r#"cicadaweir_targets{state="ready"}"#;
    wait_until("all targets are known", || {
        site.metric(&daemon, metric) == Some(150.0)
    });
    daemon.wait_line(&["log lines suppressed by the rate limit", "kind=directory"]);
}

#[test]
fn a_daemon_is_not_ready_until_the_store_is_available() {
    let site = Site::start(PROGRAM, 17, 1);
    site.store.set_faults(StoreFaults {
        availability: Availability::Busy,
        ..StoreFaults::default()
    });
    let daemon = site.daemon(1, &[1]);
    wait_until("the readiness check fails", || {
        site.readiness_status(&daemon) == Some(503)
    });
    daemon.wait_line(&["dependency lost", "Store"]);
    site.store.set_faults(StoreFaults::default());
    site.wait_ready(&daemon);
    daemon.wait_line(&["dependency recovered", "Store"]);
}
