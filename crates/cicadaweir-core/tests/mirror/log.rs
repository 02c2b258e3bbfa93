//! Changes and keys that the change log serves to other entry VMs.

use cicadaweir_core::mirror::{ChangeLog, HistoryError, Item, StoreResponse};

fn item(key: &str, revision: u64, written: bool) -> Item {
    Item {
        key: key.to_owned(),
        value: written.then(Vec::new),
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
            items: vec![item("a", revision, true)],
            as_of: revision,
        });
    }
    assert_eq!(log.changes_after(5), Err(HistoryError::Compacted));
    assert!(log.changes_after(2_900).is_ok());
}
