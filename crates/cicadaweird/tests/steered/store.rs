//! The store in trouble.

use std::time::Duration;

use cicadaweir_standins::store::{Service, StoreFaults};

use crate::PROGRAM;
use cicadaweir_standins::steered::{BOARD, SYN, Site, packet, wait_until};

/// Changes the configuration while something is wrong, and expects it in
/// force once that is over.
fn survives(net: u8, faults: StoreFaults, compact: bool) {
    let site = Site::start(PROGRAM, net, 2);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    for version in [5, 9] {
        site.store.set_faults(faults);
        site.put_config(version, &[BOARD, 81]);
        if compact {
            site.store.compact();
        }
        if faults.service != Service::Serving {
            wait_until("the daemon serves what it knows", || {
                site.deliver(&daemon, &packet(7, BOARD, SYN, 0, &[])).0 > 0
            });
        }
        site.store.set_faults(StoreFaults::default());
        site.wait_version(&daemon, version as f64);
    }
    site.put_config(3, &[BOARD]);
    site.put_target(1, "draining");
    daemon.wait_line(&["target changed", "state=Draining"]);
    site.wait_version(&daemon, 9.0);
}

#[test]
fn a_busy_store() {
    let busy = StoreFaults {
        service: Service::Busy,
        ..StoreFaults::default()
    };
    survives(11, busy, false);
}

#[test]
fn a_silent_store() {
    let silent = StoreFaults {
        service: Service::Silent,
        ..StoreFaults::default()
    };
    survives(12, silent, false);
}

#[test]
fn a_slow_store() {
    let slow = StoreFaults {
        slow: Duration::from_millis(300),
        ..StoreFaults::default()
    };
    survives(13, slow, false);
}

#[test]
fn a_store_that_forgets_its_history() {
    survives(14, StoreFaults::default(), true);
}

#[test]
fn stale_reads_at_the_start_are_caught_up() {
    let site = Site::start(PROGRAM, 15, 2);
    site.put_config(6, &[BOARD, 81]);
    site.put_config(7, &[BOARD, 82]);
    site.store.set_faults(StoreFaults {
        stale_by: 2,
        ..StoreFaults::default()
    });
    let daemon = site.daemon(1, &[1]);
    site.wait_version(&daemon, 7.0);
}

#[test]
fn entries_and_configurations_that_can_t_be_read_leave_the_others_in_force() {
    let site = Site::start(PROGRAM, 16, 1);
    let daemon = site.daemon(1, &[1]);
    site.wait_ready(&daemon);
    site.store.put("servers/i-0a0b", b"\xff\xfe not json");
    site.store
        .put("servers/i-0c0d", br#"{"service":"classes","address":7}"#);
    site.store.put("op/config", b"{}");
    daemon.wait_line(&["configuration is ignored"]);
    daemon.wait_line(&["names no target", "i-0c0d"]);
    let (n, _) = site.deliver(&daemon, &packet(8, BOARD, SYN, 0, &[]));
    assert_eq!(n, 1);
}

#[test]
fn a_daemon_without_a_store_is_not_ready_until_there_is_one() {
    let site = Site::start(PROGRAM, 17, 1);
    site.store.set_faults(StoreFaults {
        service: Service::Busy,
        ..StoreFaults::default()
    });
    let daemon = site.daemon(1, &[1]);
    wait_until("the daemon says that it isn't ready", || {
        site.is_ready(&daemon) == Some(503)
    });
    daemon.wait_line(&["dependency lost", "Store"]);
    site.store.set_faults(StoreFaults::default());
    site.wait_ready(&daemon);
    daemon.wait_line(&["dependency regained", "Store"]);
}
