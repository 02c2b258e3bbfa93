//! Routes and targets as the store names them.

use cicadaweir_core::{
    prelude::*,
    steer::{Applied, Change, Cookie, Directory, Identity, Presence, TargetState},
};

use crate::world::{BOARD, address, ms, routes, target};

#[test]
fn versions_of_routes_never_go_back() {
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
    let mut without = routes(9);
    without.routes.shift_remove(&address(BOARD));
    directory.apply(ms(3), Change::Routes(without));
    assert_eq!(directory.route(&address(BOARD), 0), None);
}

#[test]
fn identities_longer_than_a_cookie_keep_their_own() {
    let long = Identity(0x2e_9d00_f4a1);
    assert_eq!(Cookie::of(long), Cookie(0x9d00_f4a1 ^ 0x2e));
    assert!(Cookie::of(Identity(0)).is_some());
    assert!(
        Cookie::of(Identity(0x1234_5678_1234_5678)).is_some(),
        "halves cancel out"
    );
}

#[test]
fn of_two_targets_with_one_cookie_only_the_first_gets_flows() {
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
fn a_target_that_runs_anew_under_its_name_is_a_new_one() {
    let mut directory = Directory::default();
    directory.apply(ms(0), Change::Target(target(1, "classes", "a")));
    let mut again = target(1, "classes", "a");
    assert!(matches!(
        directory.apply(ms(1), Change::Target(again.clone())),
        Applied::UpdatedTarget(_)
    ));
    again.born = Some(2);
    assert!(matches!(
        directory.apply(ms(2), Change::Target(again)),
        Applied::NewTarget(_)
    ));
}

#[test]
fn a_departed_target_is_known_for_a_while_and_then_forgotten() {
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
            announced: true
        }
    );
    assert!(!entry.is_eligible());
    directory.forget_departed(ms(6), Duration::from_secs(1), |_| panic!("too early"));
    let mut forgotten = Vec::new();
    directory.forget_departed(ms(2_000), Duration::from_secs(1), |key| forgotten.push(key));
    assert_eq!(forgotten, [key]);
    assert_eq!(directory.by_name("i-1"), None);
}

#[test]
fn a_name_that_moves_to_another_service_leaves_the_old_one() {
    let mut directory = Directory::default();
    directory.apply(ms(0), Change::Target(target(1, "classes", "a")));
    let old = directory
        .by_name("i-1")
        .map(|key| directory.target(key).expect("known").service);
    directory.apply(ms(1), Change::Target(target(1, "sheets", "a")));
    assert!(directory.service_targets(old.expect("known")).is_empty());
}

#[test]
fn weights_share_a_route_between_services() {
    let mut directory = Directory::default();
    let mut table = routes(1);
    let shared = &mut table.routes[&address(BOARD)].services;
    *shared = vec![("old".into(), 9), ("new".into(), 1)];
    directory.apply(ms(0), Change::Routes(table));
    let drawn = (0..100).filter_map(|draw| directory.route(&address(BOARD), draw));
    let new = drawn.filter(|(service, _)| directory.service_name(*service) == "new");
    assert_eq!(new.count(), 10);
}
