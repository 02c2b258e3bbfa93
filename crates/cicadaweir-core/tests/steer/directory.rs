//! Routes and targets of the store.

use cicadaweir_core::{
    prelude::*,
    steer::{Applied, Change, Cookie, Directory, Identity, Presence, TargetState},
};

use crate::support::{IDEMPOTENT_PORT, address, ms, routes, target};

#[test]
fn routes_of_an_older_version_are_ignored() {
    let mut directory = Directory::default();
    assert_eq!(
        directory.apply(ms(0), Change::Routes(routes(7))),
        Applied::Routes
    );
    assert_eq!(
        directory.apply(ms(1), Change::Routes(routes(3))),
        Applied::StaleRoutes
    );
    assert_eq!(
        directory.apply(ms(2), Change::Routes(routes(7))),
        Applied::StaleRoutes
    );
    assert_eq!(directory.version(), Some(7));
    let mut without_route = routes(9);
    without_route.routes.shift_remove(&address(IDEMPOTENT_PORT));
    directory.apply(ms(3), Change::Routes(without_route));
    assert_eq!(directory.route(&address(IDEMPOTENT_PORT), 0), None);
}

#[test]
fn cookies_fold_long_identities_and_are_never_none() {
    let long = Identity(0x2e_9d00_f4a1);
    assert_eq!(Cookie::of(long), Cookie(0x9d00_f4a1 ^ 0x2e));
    assert!(Cookie::of(Identity(0)).is_some());
    assert!(
        Cookie::of(Identity(0x1234_5678_1234_5678)).is_some(),
        "the two halves XOR to zero"
    );
}

#[test]
fn a_target_whose_cookie_is_taken_is_not_added() {
    let mut directory = Directory::default();
    let (low, high) = (0x0000_0000_0000_0102, 0x0000_0001_0000_0103);
    assert_eq!(Cookie::of(Identity(low)), Cookie::of(Identity(high)));
    let first = directory.apply(ms(0), Change::Target(target(low, "classes", "a")));
    assert!(matches!(first, Applied::NewTarget(_)));
    let second = directory.apply(ms(1), Change::Target(target(high, "classes", "a")));
    assert_eq!(second, Applied::CookieCollision);
    let key = directory
        .by_cookie(Cookie::of(Identity(high)))
        .expect("known");
    assert_eq!(
        directory.target(key).expect("known").identity,
        Identity(low)
    );
}

#[test]
fn a_restarted_target_counts_as_new() {
    let mut directory = Directory::default();
    directory.apply(ms(0), Change::Target(target(1, "classes", "a")));
    let mut restarted = target(1, "classes", "a");
    assert!(matches!(
        directory.apply(ms(1), Change::Target(restarted.clone())),
        Applied::UpdatedTarget(_)
    ));
    restarted.born = Some(2);
    assert!(matches!(
        directory.apply(ms(2), Change::Target(restarted)),
        Applied::NewTarget(_)
    ));
}

#[test]
fn a_departed_target_is_evicted_after_its_ttl() {
    let mut directory = Directory::default();
    let mut draining = target(1, "classes", "a");
    draining.state = TargetState::Draining;
    directory.apply(ms(0), Change::Target(draining));
    let key = directory.by_name("i-1").expect("known");
    directory.apply(ms(5), Change::TargetRemoved { name: "i-1".into() });
    let entry = directory.target(key).expect("still known");
    assert_eq!(
        entry.presence,
        Presence::Departed {
            since: ms(5),
            was_draining: true
        }
    );
    assert!(!entry.is_eligible());
    directory.evict_departed(ms(6), Duration::from_secs(1), |_| {
        panic!("evicted before its TTL")
    });
    let mut evicted = Vec::new();
    directory.evict_departed(ms(2_000), Duration::from_secs(1), |key| evicted.push(key));
    assert_eq!(evicted, [key]);
    assert_eq!(directory.by_name("i-1"), None);
}

#[test]
fn a_target_that_changes_service_is_removed_from_the_old_one() {
    let mut directory = Directory::default();
    directory.apply(ms(0), Change::Target(target(1, "classes", "a")));
    let old = directory
        .by_name("i-1")
        .map(|key| directory.target(key).expect("known").service);
    directory.apply(ms(1), Change::Target(target(1, "sheets", "a")));
    assert!(directory.service_targets(old.expect("known")).is_empty());
}

#[test]
fn a_route_splits_flows_between_services_by_weight() {
    let mut directory = Directory::default();
    let mut table = routes(1);
    let shared = &mut table.routes[&address(IDEMPOTENT_PORT)].services;
    *shared = vec![("old".into(), 9), ("new".into(), 1)];
    directory.apply(ms(0), Change::Routes(table));
    let drawn = (0..100).filter_map(|draw| directory.route(&address(IDEMPOTENT_PORT), draw));
    let new = drawn.filter(|route| directory.service_name(route.service) == "new");
    assert_eq!(new.count(), 10);
}
