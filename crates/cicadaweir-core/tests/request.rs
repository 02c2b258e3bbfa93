//! The admission unit.

use cicadaweir_core::{
    catalog::TargetKey,
    error::ErrorKind,
    request::{Dispatcher, Options, Outcome, Settled, SizeClass, Unit, UnitId},
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

fn one_target(slots: u16) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.set_target(TargetKey(0), slots);
    dispatcher
}

#[test]
fn a_repeated_booking_is_given_to_no_second_target() {
    let mut dispatcher = one_target(2);
    dispatcher.set_target(TargetKey(1), 2);
    let Outcome::Started(first) = dispatcher.submit(Instant::START, booking(1)) else {
        panic!("a slot is free");
    };
    assert_eq!(
        dispatcher.submit(Instant::START, booking(1)),
        Outcome::Repeated(first)
    );
    let mut out = Vec::new();
    assert_eq!(
        dispatcher.answered(Instant::START, UnitId(1), &mut out),
        Some(first)
    );
    assert_eq!(
        dispatcher.answered(Instant::START, UnitId(1), &mut out),
        None
    );
    assert_eq!(
        dispatcher.submit(Instant::START, booking(1)),
        Outcome::Repeated(first),
        "remembered after its end"
    );
}

#[test]
fn a_lost_target_takes_its_bookings_fate_with_it_and_refreshes_run_elsewhere() {
    let mut dispatcher = one_target(2);
    let mut out = Vec::new();
    dispatcher.submit(Instant::START, booking(1));
    dispatcher.submit(Instant::START, unit(2, true, SizeClass::Short));
    dispatcher.set_target(TargetKey(1), 2);
    dispatcher.lose(Instant::START, TargetKey(0), &mut out);
    assert!(out.contains(&Settled::Unknown(UnitId(1))));
    assert!(out.contains(&Settled::Started(UnitId(2), TargetKey(1))));
}

#[test]
fn a_unit_past_its_deadline_is_refused_and_never_started() {
    let mut dispatcher = one_target(1);
    let mut out = Vec::new();
    dispatcher.submit(Instant::START, booking(1));
    assert_eq!(
        dispatcher.submit(Instant::START, booking(2)),
        Outcome::Queued
    );
    let late = Instant::START + Duration::from_secs(11);
    dispatcher.answered(late, UnitId(1), &mut out);
    assert_eq!(out, [Settled::Refused(UnitId(2), ErrorKind::Overloaded)]);
}

#[test]
fn a_cancelled_unit_leaves_the_queue_or_its_slot() {
    let mut dispatcher = one_target(1);
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
            Settled::Cancelled(UnitId(1), TargetKey(0)),
            Settled::Started(UnitId(3), TargetKey(0))
        ]
    );
}

#[test]
fn downloads_leave_a_slot_to_short_work() {
    let mut dispatcher = one_target(2);
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
        let mut dispatcher = one_target(2);
        dispatcher.set_target(TargetKey(1), 2);
        let mut started = std::collections::BTreeSet::new();
        let mut refused = std::collections::BTreeSet::new();
        let mut now = Instant::START;
        for (step, id, target) in steps {
            let mut out = Vec::new();
            now += Duration::from_millis(300);
            match step {
                0 | 1 => match dispatcher.submit(now, booking(id)) {
                    Outcome::Started(t) => out.push(Settled::Started(UnitId(id), t)),
                    Outcome::Refused(kind) => out.push(Settled::Refused(UnitId(id), kind)),
                    Outcome::Queued | Outcome::Repeated(_) => {}
                },
                2 => { dispatcher.answered(now, UnitId(id), &mut out); }
                3 => dispatcher.cancel(now, UnitId(id), &mut out),
                4 => dispatcher.lose(now, TargetKey(target), &mut out),
                _ => dispatcher.set_target(TargetKey(target), 2),
            }
            for settled in out {
                match settled {
                    Settled::Started(id, _) => {
                        prop_assert!(started.insert(id), "{id:?} started twice");
                        prop_assert!(!refused.contains(&id) || !started.contains(&id) || refused.remove(&id));
                    }
                    Settled::Refused(id, _) => {
                        prop_assert!(!started.contains(&id), "{id:?} refused after its start");
                        refused.insert(id);
                    }
                    Settled::Cancelled(..) | Settled::Unknown(_) => {}
                }
            }
        }
    }
}
