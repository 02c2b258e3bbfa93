//! Dispatching of units to slots of targets.

use cicadaweir_core::{
    catalog::TargetKey,
    error::ErrorKind,
    request::{Dispatcher, Options, Outcome, SizeClass, Unit, UnitId, UnitUpdate},
    time::{Duration, Instant},
};
use proptest::prelude::*;

fn unit(id: u64, idempotent: bool, size: SizeClass) -> Unit {
    Unit {
        id: UnitId(id),
        idempotent,
        deadline: Instant::START + Duration::from_secs(10),
        size,
    }
}

fn booking(id: u64) -> Unit {
    unit(id, false, SizeClass::Short)
}

fn dispatcher_with_target(slots: u16) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_target(TargetKey(0), slots);
    dispatcher
}

#[test]
fn a_repeated_booking_is_given_to_no_second_target() {
    let mut dispatcher = dispatcher_with_target(2);
    dispatcher.set_target(TargetKey(1), 2);
    let Outcome::Started(first) = dispatcher.submit(Instant::START, booking(1)) else {
        panic!("a unit must start while a slot is free");
    };
    assert_eq!(
        dispatcher.submit(Instant::START, booking(1)),
        Outcome::Duplicate(first)
    );
    let mut out = Vec::new();
    assert_eq!(
        dispatcher.complete(Instant::START, UnitId(1), &mut out),
        Some(first)
    );
    assert_eq!(
        dispatcher.complete(Instant::START, UnitId(1), &mut out),
        None
    );
    assert_eq!(
        dispatcher.submit(Instant::START, booking(1)),
        Outcome::Duplicate(first),
        "the record of a completed unit is kept"
    );
}

#[test]
fn after_a_target_fails_its_bookings_are_unknown_and_its_refreshes_run_elsewhere() {
    let mut dispatcher = dispatcher_with_target(2);
    let mut out = Vec::new();
    dispatcher.submit(Instant::START, booking(1));
    dispatcher.submit(Instant::START, unit(2, true, SizeClass::Short));
    dispatcher.set_target(TargetKey(1), 2);
    dispatcher.remove_failed_target(Instant::START, TargetKey(0), &mut out);
    assert!(out.contains(&UnitUpdate::Unknown(UnitId(1))));
    assert!(out.contains(&UnitUpdate::Started(UnitId(2), TargetKey(1))));
}

#[test]
fn a_queued_unit_past_its_deadline_is_refused_and_not_started() {
    let mut dispatcher = dispatcher_with_target(1);
    let mut out = Vec::new();
    dispatcher.submit(Instant::START, booking(1));
    assert_eq!(
        dispatcher.submit(Instant::START, booking(2)),
        Outcome::Queued
    );
    let late = Instant::START + Duration::from_secs(11);
    dispatcher.complete(late, UnitId(1), &mut out);
    assert_eq!(out, [UnitUpdate::Refused(UnitId(2), ErrorKind::Overloaded)]);
}

#[test]
fn cancelling_a_unit_removes_it_from_the_queue_or_frees_its_slot() {
    let mut dispatcher = dispatcher_with_target(1);
    let mut out = Vec::new();
    dispatcher.submit(Instant::START, booking(1));
    dispatcher.submit(Instant::START, booking(2));
    dispatcher.submit(Instant::START, booking(3));
    dispatcher.cancel(Instant::START, UnitId(2), &mut out);
    assert_eq!(dispatcher.queued(), 1);
    dispatcher.cancel(Instant::START, UnitId(1), &mut out);
    assert_eq!(
        out,
        [
            UnitUpdate::Cancelled(UnitId(1), TargetKey(0)),
            UnitUpdate::Started(UnitId(3), TargetKey(0))
        ]
    );
}

#[test]
fn a_slot_is_reserved_for_short_units() {
    let mut dispatcher = dispatcher_with_target(2);
    let download = |id| unit(id, true, SizeClass::Long);
    assert!(matches!(
        dispatcher.submit(Instant::START, download(1)),
        Outcome::Started(_)
    ));
    assert_eq!(
        dispatcher.submit(Instant::START, download(2)),
        Outcome::Queued
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn no_booking_starts_twice_and_no_slot_is_taken_twice(
        steps in prop::collection::vec((0u8..6, 0u64..12, 0u32..3), 1..120)
    ) {
        let mut dispatcher = dispatcher_with_target(2);
        dispatcher.set_target(TargetKey(1), 2);
        let mut started = std::collections::BTreeSet::new();
        let mut refused = std::collections::BTreeSet::new();
        let mut now = Instant::START;
        for (step, id, target) in steps {
            let mut out = Vec::new();
            now += Duration::from_millis(300);
            match step {
                0 | 1 => match dispatcher.submit(now, booking(id)) {
                    Outcome::Started(t) => out.push(UnitUpdate::Started(UnitId(id), t)),
                    Outcome::Refused(kind) => out.push(UnitUpdate::Refused(UnitId(id), kind)),
                    Outcome::Queued | Outcome::Duplicate(_) => {}
                },
                2 => { dispatcher.complete(now, UnitId(id), &mut out); }
                3 => dispatcher.cancel(now, UnitId(id), &mut out),
                4 => dispatcher.remove_failed_target(now, TargetKey(target), &mut out),
                _ => dispatcher.set_target(TargetKey(target), 2),
            }
            for update in out {
                match update {
                    UnitUpdate::Started(id, _) => {
                        prop_assert!(started.insert(id), "{id:?} started twice");
                        prop_assert!(!refused.contains(&id) || !started.contains(&id) || refused.remove(&id));
                    }
                    UnitUpdate::Refused(id, _) => {
                        prop_assert!(!started.contains(&id), "{id:?} refused after it was started");
                        refused.insert(id);
                    }
                    UnitUpdate::Cancelled(..) | UnitUpdate::Unknown(_) => {}
                }
            }
        }
    }
}
