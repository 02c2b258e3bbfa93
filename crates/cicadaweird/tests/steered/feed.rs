//! Daemons that follow the store through other daemons.

use crate::PROGRAM;
use cicadaweir_standins::{
    steered::{ROUTE_PORT, SYN, Site, packet},
    store::{Availability, StoreFaults},
};

#[test]
fn a_daemon_without_access_to_the_store_starts_and_follows_a_seed() {
    let site = Site::start(PROGRAM, 21, 2);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let unreachable = site.address(249, 1);
    let follower = site.daemon_with_store(2, &[1], unreachable);
    site.wait_ready(&follower);
    let (target, _) = site.send_until_delivered(&follower, &packet(1, ROUTE_PORT, SYN, 0, &[]));
    assert!(target > 0);
    site.put_config(8, &[ROUTE_PORT, 81]);
    site.wait_version(&follower, 8.0);
    site.store.compact();
    site.put_config(12, &[ROUTE_PORT, 82]);
    site.wait_version(&follower, 12.0);
}

#[test]
fn a_follower_falls_back_to_the_store_when_its_seed_exits() {
    let site = Site::start(PROGRAM, 22, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let follower = site.daemon(2, &[1]);
    site.wait_ready(&follower);
    site.put_config(4, &[ROUTE_PORT, 81]);
    site.wait_version(&follower, 4.0);
    drop(seed);
    site.put_config(6, &[ROUTE_PORT, 82]);
    site.wait_version(&follower, 6.0);
    let restarted = site.daemon(1, &[1]);
    site.wait_ready(&restarted);
    site.put_config(7, &[ROUTE_PORT, 83]);
    site.wait_version(&follower, 7.0);
}

#[test]
fn a_paused_seed_does_not_block_its_followers() {
    let site = Site::start(PROGRAM, 23, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let follower = site.daemon(2, &[1]);
    site.wait_ready(&follower);
    site.put_config(2, &[ROUTE_PORT, 80]);
    site.wait_version(&follower, 2.0);
    seed.signal("STOP");
    site.put_config(4, &[ROUTE_PORT, 81]);
    site.wait_version(&follower, 4.0);
    seed.signal("CONT");
    site.put_config(5, &[ROUTE_PORT, 82]);
    site.wait_version(&seed, 5.0);
    site.wait_version(&follower, 5.0);
}

#[test]
fn a_daemon_starts_when_all_seed_addresses_are_unreachable() {
    let site = Site::start(PROGRAM, 24, 1);
    let daemon = site.daemon(3, &[77, 78]);
    site.wait_ready(&daemon);
    site.put_config(9, &[ROUTE_PORT, 81]);
    site.wait_version(&daemon, 9.0);
}

// When each of three seeds watched the store, every change cost three calls.
#[test]
fn one_seed_watches_the_store_and_the_next_takes_over_on_failure() {
    let site = Site::start(PROGRAM, 25, 1);
    let first = site.daemon(1, &[1, 2]);
    let second = site.daemon(2, &[1, 2]);
    site.wait_ready(&first);
    site.wait_ready(&second);
    for version in 2..12 {
        site.put_config(version, &[ROUTE_PORT, 80]);
        site.wait_version(&second, version as f64);
    }
    let metric = r#"cicadaweir_store_calls_total{source="store",kind="watch",outcome="ok"}"#;
    let watches = |daemon| site.metric(daemon, metric).unwrap_or_default();
    assert!(
        watches(&second) < watches(&first) / 2.0,
        "expected less than half as many store watches by the second seed as by the first, got {} and {}",
        watches(&second),
        watches(&first)
    );
    drop(first);
    site.put_config(20, &[ROUTE_PORT, 81]);
    site.wait_version(&second, 20.0);
    let restarted = site.daemon(1, &[1, 2]);
    site.wait_ready(&restarted);
    site.put_config(21, &[ROUTE_PORT, 82]);
    site.wait_version(&second, 21.0);
    site.wait_version(&restarted, 21.0);
}

#[test]
fn a_reload_replaces_the_seeds_without_a_restart() {
    let site = Site::start(PROGRAM, 26, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let unreachable = site.address(249, 1);
    let follower = site.daemon_with_store(2, &[77], unreachable);
    let feed_address = |host| site.address(host, 8_166).to_string();
    follower.wait_line(&["started"]);
    follower.change_settings(&feed_address(77), &feed_address(1));
    follower.signal("HUP");
    site.wait_ready(&follower);
    site.put_config(3, &[ROUTE_PORT, 81]);
    site.wait_version(&follower, 3.0);
}

// Found by the incident of klin-booth: entry VMs that started while the store was
// down for all stayed without a configuration, though their peers had one.
#[test]
fn a_daemon_starts_from_a_peer_while_the_store_is_down_for_all() {
    let site = Site::start(PROGRAM, 27, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    site.store.set_faults(StoreFaults {
        availability: Availability::Busy,
        ..StoreFaults::default()
    });
    seed.wait_line(&["dependency lost", "Store"]);
    let newcomer = site.daemon(2, &[1]);
    site.wait_ready(&newcomer);
    let (target, _) = site.send_until_delivered(&newcomer, &packet(1, ROUTE_PORT, SYN, 0, &[]));
    assert_eq!(target, 1);
    site.store.set_faults(StoreFaults::default());
    site.put_config(8, &[ROUTE_PORT, 81]);
    site.wait_version(&newcomer, 8.0);
}
