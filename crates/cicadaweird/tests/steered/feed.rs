//! Daemons that learn of the store from others.

use crate::PROGRAM;
use cicadaweir_standins::steered::{BOARD, SYN, Site, packet};

#[test]
fn a_daemon_that_cannot_reach_the_store_starts_and_follows_through_a_seed() {
    let site = Site::start(PROGRAM, 21, 2);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let nobody = site.at(249, 1);
    let follower = site.daemon_with_store(2, &[1], nobody);
    site.wait_ready(&follower);
    let (n, _) = site.deliver(&follower, &packet(1, BOARD, SYN, 0, &[]));
    assert!(n > 0);
    site.put_config(8, &[BOARD, 81]);
    site.wait_version(&follower, 8.0);
    site.store.compact();
    site.put_config(12, &[BOARD, 82]);
    site.wait_version(&follower, 12.0);
}

#[test]
fn a_follower_goes_to_the_store_when_its_seeds_are_gone() {
    let site = Site::start(PROGRAM, 22, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let follower = site.daemon(2, &[1]);
    site.wait_ready(&follower);
    site.put_config(4, &[BOARD, 81]);
    site.wait_version(&follower, 4.0);
    drop(seed);
    site.put_config(6, &[BOARD, 82]);
    site.wait_version(&follower, 6.0);
    let again = site.daemon(1, &[1]);
    site.wait_ready(&again);
    site.put_config(7, &[BOARD, 83]);
    site.wait_version(&follower, 7.0);
}

#[test]
fn a_seed_that_stands_still_does_not_hold_its_followers_up() {
    let site = Site::start(PROGRAM, 23, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let follower = site.daemon(2, &[1]);
    site.wait_ready(&follower);
    site.put_config(2, &[BOARD, 80]);
    site.wait_version(&follower, 2.0);
    seed.signal("STOP");
    site.put_config(4, &[BOARD, 81]);
    site.wait_version(&follower, 4.0);
    seed.signal("CONT");
    site.put_config(5, &[BOARD, 82]);
    site.wait_version(&seed, 5.0);
    site.wait_version(&follower, 5.0);
}

#[test]
fn seeds_that_are_all_gone_and_stale_addresses_do_not_keep_a_daemon_from_starting() {
    let site = Site::start(PROGRAM, 24, 1);
    let daemon = site.daemon(3, &[77, 78]);
    site.wait_ready(&daemon);
    site.put_config(9, &[BOARD, 81]);
    site.wait_version(&daemon, 9.0);
}

// Three seeds that each watched the store made three calls of each change.
#[test]
fn one_seed_watches_the_store_and_the_next_takes_over() {
    let site = Site::start(PROGRAM, 25, 1);
    let first = site.daemon(1, &[1, 2]);
    let second = site.daemon(2, &[1, 2]);
    site.wait_ready(&first);
    site.wait_ready(&second);
    for version in 2..12 {
        site.put_config(version, &[BOARD, 80]);
        site.wait_version(&second, version as f64);
    }
    let line = r#"cicadaweir_store_calls_total{source="store",kind="watch",outcome="ok"}"#;
    let watches = |daemon| site.metric(daemon, line).unwrap_or_default();
    assert!(
        watches(&second) < watches(&first) / 2.0,
        "{} calls by the second seed, {} by the first",
        watches(&second),
        watches(&first)
    );
    drop(first);
    site.put_config(20, &[BOARD, 81]);
    site.wait_version(&second, 20.0);
    let first = site.daemon(1, &[1, 2]);
    site.wait_ready(&first);
    site.put_config(21, &[BOARD, 82]);
    site.wait_version(&second, 21.0);
    site.wait_version(&first, 21.0);
}

#[test]
fn other_seeds_in_the_settings_are_taken_up_without_a_restart() {
    let site = Site::start(PROGRAM, 26, 1);
    let seed = site.daemon(1, &[1]);
    site.wait_ready(&seed);
    let nobody = site.at(249, 1);
    let follower = site.daemon_with_store(2, &[77], nobody);
    let feed = |host| site.at(host, 8_166).to_string();
    follower.wait_line(&["started"]);
    follower.change_settings(&feed(77), &feed(1));
    follower.signal("HUP");
    site.wait_ready(&follower);
    site.put_config(3, &[BOARD, 81]);
    site.wait_version(&follower, 3.0);
}
