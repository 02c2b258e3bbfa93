//! Release notes on the catalog.

mod support;

use cicadaweir_core::{
    catalog::{Catalog, Change, NoteError, Revision},
    error::ErrorKind,
    placement::Options,
};
use support::{note, service, target};

fn started() -> Catalog {
    let mut catalog = Catalog::new(Options::default());
    let first = note(1, vec![service("board", "203.0.113.1:443", 1..4)]);
    catalog.apply(&first).expect("the first note fits");
    catalog
}

fn add(name: &str, host: u8) -> Change {
    Change::AddTarget {
        service: "board".into(),
        target: target(name, host),
    }
}

fn withdraw(name: &str) -> Change {
    Change::WithdrawTarget {
        service: "board".into(),
        target: name.into(),
    }
}

#[test]
fn a_note_that_does_not_fit_is_refused_and_changes_nothing() {
    let mut light = target("t9", 9);
    light.weight = 0;
    let mut narrow = target("t9", 9);
    narrow.slots = 0;
    let mut moved = target("t1", 9);
    moved.name = "t1".into();
    let cases: Vec<(Vec<Change>, &str)> = vec![
        (vec![], "the note changes nothing"),
        (vec![add("t1", 9)], "exists already"),
        (vec![add("t9", 1)], "have the endpoint"),
        (vec![add("bad name", 9)], "is not 1 to 63"),
        (vec![withdraw("t9")], "does not exist"),
        (
            vec![withdraw("t1"), withdraw("t2"), withdraw("t3")],
            "left without targets",
        ),
        (
            vec![service("board", "203.0.113.9:443", 10..12)],
            "exists already",
        ),
        (
            vec![service("sheet", "203.0.113.1:443", 10..12)],
            "belongs to service",
        ),
        (
            vec![Change::WithdrawService {
                service: "sheet".into(),
            }],
            "does not exist",
        ),
        (
            vec![Change::AddTarget {
                service: "board".into(),
                target: light,
            }],
            "allowed are 1 to 1000",
        ),
        (
            vec![Change::AddTarget {
                service: "board".into(),
                target: narrow,
            }],
            "allows 0",
        ),
        (
            vec![Change::ChangeTarget {
                service: "board".into(),
                target: moved,
            }],
            "would move",
        ),
    ];
    for (changes, why) in cases {
        let mut catalog = started();
        let err = catalog.apply(&note(2, changes)).expect_err(why);
        assert!(err.to_string().contains(why), "{err} instead of {why}");
        assert_eq!(err.kind(), ErrorKind::NoteInvalid);
        assert_eq!(catalog.revision(), Revision(1));
        assert_eq!(catalog.targets().count(), 3, "{why}");
        assert_eq!(catalog.services().count(), 1, "{why}");
    }
}

#[test]
fn revisions_come_in_order_and_never_back() {
    let mut catalog = started();
    for revision in [0, 1, 3] {
        let err = catalog
            .apply(&note(revision, vec![add("t9", 9)]))
            .expect_err("out of order");
        assert!(matches!(err, NoteError::OutOfOrder { .. }), "{err}");
    }
    catalog
        .apply(&note(2, vec![add("t9", 9)]))
        .expect("the next");
    assert_eq!(catalog.revision(), Revision(2));
}

#[test]
fn a_withdrawn_target_takes_no_bucket_of_the_next_generation_and_keeps_its_flows() {
    let mut catalog = started();
    catalog.apply(&note(2, vec![withdraw("t1")])).expect("fits");
    let key = catalog.service_named("board").expect("a service");
    let service = catalog.service(key);
    let gone = catalog
        .targets()
        .find(|(_, t)| t.spec.name == "t1")
        .map(|(key, _)| key)
        .expect("still known");
    assert!(
        service
            .in_force(Revision(2))
            .table
            .iter()
            .all(|&t| t != gone)
    );
    assert!(service.base().table.contains(&gone));
    assert_eq!(
        catalog.target_at(key, &support::endpoint("10.0.0.1:6081")),
        Some(gone),
        "its answers are still taken"
    );
}

#[test]
fn a_name_can_come_back_as_another_target() {
    let mut catalog = started();
    catalog.apply(&note(2, vec![withdraw("t1")])).expect("fits");
    catalog.apply(&note(3, vec![add("t1", 1)])).expect("fits");
    assert_eq!(catalog.targets().count(), 4, "keys are never used again");
}
