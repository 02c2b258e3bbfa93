//! Changes and keys that the change log serves to other entry VMs.

use std::sync::{Arc, Weak};

use cicadaweir_core::mirror::{ChangeLog, HistoryError, Item, StoreResponse, Value};

fn item(key: &str, revision: u64, written: bool) -> Item {
    Item {
        key: key.to_owned(),
        value: written.then(|| Value::from([])),
        revision,
    }
}

fn complete_log() -> ChangeLog {
    let mut log = ChangeLog::default();
    log.record(&StoreResponse::Page {
        items: vec![item("a", 1, true), item("b", 2, true)],
        has_more: false,
        as_of: 5,
    });
    log
}

#[test]
fn an_incomplete_log_serves_nothing() {
    let mut log = ChangeLog::default();
    assert_eq!(log.changes_after(0), Err(HistoryError::Behind));
    log.record(&StoreResponse::Page {
        items: vec![item("a", 1, true)],
        has_more: true,
        as_of: 5,
    });
    assert_eq!(log.all(), None);
    log.record(&StoreResponse::Events {
        items: vec![item("z", 6, true)],
        as_of: 6,
    });
    assert_eq!(
        log.revision(),
        None,
        "events before the last page do not complete the log"
    );
}

#[test]
fn the_lowest_page_revision_is_the_logs_revision() {
    let mut log = ChangeLog::default();
    for (has_more, as_of) in [(true, 9), (false, 6)] {
        log.record(&StoreResponse::Page {
            items: vec![item("a", 1, true)],
            has_more,
            as_of,
        });
    }
    assert_eq!(log.revision(), Some(6));
}

#[test]
fn only_changes_after_the_requested_revision_are_returned() {
    let mut log = complete_log();
    log.record(&StoreResponse::Events {
        items: vec![item("a", 6, false), item("c", 8, true)],
        as_of: 9,
    });
    let later = |revision| match log.changes_after(revision) {
        Ok(StoreResponse::Events { items, as_of }) => (items.len(), as_of),
        other => panic!("{other:?}"),
    };
    assert_eq!(later(5), (2, 9));
    assert_eq!(later(6), (1, 9));
    assert_eq!(later(9), (0, 9));
    assert_eq!(log.changes_after(10), Err(HistoryError::Behind));
    assert_eq!(log.changes_after(4), Err(HistoryError::Compacted));
    let Some(StoreResponse::Page {
        mut items, as_of, ..
    }) = log.all()
    else {
        panic!("expected all keys");
    };
    items.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(
        (items[0].key.as_str(), items[1].key.as_str(), as_of),
        ("b", "c", 9)
    );
}

#[test]
fn evicted_changes_are_reported_as_compacted() {
    let mut log = complete_log();
    for revision in 6..3_000 {
        log.record(&StoreResponse::Events {
            items: vec![item(
                &format!("key-{revision}"),
                revision,
                revision % 2 == 0,
            )],
            as_of: revision,
        });
    }
    assert_eq!(log.changes_after(5), Err(HistoryError::Compacted));
    let Ok(StoreResponse::Events { items, .. }) = log.changes_after(2_900) else {
        panic!("the last changes are kept");
    };
    assert_eq!(items.len(), 99);
    let Some(StoreResponse::Page { items, .. }) = log.all() else {
        panic!("the log is complete");
    };
    assert_eq!(items.len(), 2 + 1_497, "removed keys aren't listed");
}

// Guards against processes that exceed their memory while a large configuration changes: the
// log kept 1,024 of its values (docs/incidents/log-memory.md).
#[test]
fn of_changes_of_one_key_the_last_value_alone_is_kept() {
    let mut log = complete_log();
    let mut values: Vec<Weak<[u8]>> = Vec::new();
    for revision in 6..2_006 {
        let value: Value = vec![0; 1_000].into();
        values.push(Arc::downgrade(&value));
        log.record(&StoreResponse::Events {
            items: vec![Item {
                value: Some(value),
                ..item("a", revision, true)
            }],
            as_of: revision,
        });
    }
    let kept = values.iter().filter(|value| value.strong_count() > 0);
    assert_eq!(kept.count(), 1);
    for (after, expected) in [(5, 1), (1_000, 1), (2_005, 0)] {
        let Ok(StoreResponse::Events { items, as_of }) = log.changes_after(after) else {
            panic!("no change is lost for a follower at revision {after}");
        };
        assert_eq!((items.len(), as_of), (expected, 2_005), "after {after}");
        assert!(items.iter().all(|item| item.revision == 2_005));
    }
}

#[test]
fn a_key_that_is_removed_and_written_again_is_reported_once() {
    let mut log = complete_log();
    for (revision, written) in [(6, false), (7, true), (8, false)] {
        log.record(&StoreResponse::Events {
            items: vec![item("a", revision, written)],
            as_of: revision,
        });
        let Ok(StoreResponse::Events { items, .. }) = log.changes_after(5) else {
            panic!("the changes are kept");
        };
        assert_eq!(items, [item("a", revision, written)]);
    }
}
