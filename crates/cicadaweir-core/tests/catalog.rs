//! Applying release notes to the catalog.

mod support;

use cicadaweir_core::{
    catalog::{Catalog, Change, NoteError, Revision},
    error::ErrorKind,
    placement::Options,
};
use support::{note, service, target};

fn catalog_at_revision_1() -> Catalog {
    let mut catalog = Catalog::new(Options::default());
    let first = note(1, vec![service("board", "203.0.113.1:443", 1..4)]);
    catalog.apply(&first).expect("the first note is valid");
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
fn an_invalid_note_is_rejected_and_leaves_the_catalog_unchanged() {
    let mut zero_weight = target("t9", 9);
    zero_weight.weight = 0;
    let mut zero_slots = target("t9", 9);
    zero_slots.slots = 0;
    let mut moved = target("t1", 9);
    moved.name = "t1".into();
    let cases: Vec<(Vec<Change>, &str)> = vec![
        (vec![], "release note has no changes"),
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
                target: zero_weight,
            }],
            "expected 1 to 1000",
        ),
        (
            vec![Change::AddTarget {
                service: "board".into(),
                target: zero_slots,
            }],
            "has a limit of 0",
        ),
        (
            vec![Change::ChangeTarget {
                service: "board".into(),
                target: moved,
            }],
            "cannot change its endpoint or zone",
        ),
    ];
    for (changes, message) in cases {
        let mut catalog = catalog_at_revision_1();
        let err = catalog.apply(&note(2, changes)).expect_err(message);
        assert!(
            err.to_string().contains(message),
            "error {err} does not contain {message:?}"
        );
        assert_eq!(err.kind(), ErrorKind::NoteInvalid);
        assert_eq!(catalog.revision(), Revision(1));
        assert_eq!(catalog.targets().count(), 3, "{message}");
        assert_eq!(catalog.services().count(), 1, "{message}");
    }
}

#[test]
fn a_note_whose_revision_is_not_the_next_one_is_rejected() {
    let mut catalog = catalog_at_revision_1();
    for revision in [0, 1, 3] {
        let err = catalog
            .apply(&note(revision, vec![add("t9", 9)]))
            .expect_err("not the next revision");
        assert!(matches!(err, NoteError::OutOfOrder { .. }), "{err}");
    }
    catalog
        .apply(&note(2, vec![add("t9", 9)]))
        .expect("the next revision is valid");
    assert_eq!(catalog.revision(), Revision(2));
}

#[test]
fn a_withdrawn_target_has_no_bucket_in_the_next_generation_and_keeps_its_flows() {
    let mut catalog = catalog_at_revision_1();
    catalog
        .apply(&note(2, vec![withdraw("t1")]))
        .expect("the note is valid");
    let key = catalog.service_named("board").expect("the service exists");
    let service = catalog.service(key);
    let withdrawn = catalog
        .targets()
        .find(|(_, t)| t.spec.name == "t1")
        .map(|(key, _)| key)
        .expect("a withdrawn target stays in the catalog");
    assert!(
        service
            .in_force(Revision(2))
            .table
            .iter()
            .all(|&t| t != withdrawn)
    );
    assert!(service.base().table.contains(&withdrawn));
    assert_eq!(
        catalog.target_at(key, &support::endpoint("10.0.0.1:6081")),
        Some(withdrawn),
        "responses of a withdrawn target are still accepted"
    );
}

#[test]
fn a_target_added_under_a_withdrawn_name_gets_a_new_key() {
    let mut catalog = catalog_at_revision_1();
    catalog
        .apply(&note(2, vec![withdraw("t1")]))
        .expect("the note is valid");
    catalog
        .apply(&note(3, vec![add("t1", 1)]))
        .expect("the note is valid");
    assert_eq!(catalog.targets().count(), 4, "target keys are not reused");
}
