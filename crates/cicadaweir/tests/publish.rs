//! Publication against a stand-in of the platform with injected faults.

use std::time::Duration;

use cicadaweir::{exit, history, publish};
use cicadaweir_core::{catalog::NoteId, error::ErrorKind};
use cicadaweir_proto::note;
use cicadaweir_standins::{
    platform::{Faults, PlatformServer},
    site::Site,
};
use cicadaweird::platform::HttpPlatform;

const FIRST: &str = include_str!("../../../examples/first-note.toml");
const SECOND: &str = include_str!("../../../examples/second-note.toml");

/// Starts the platform of a site, and returns it with a client of it.
fn platform(number: u8) -> (PlatformServer, HttpPlatform) {
    let site = Site {
        number,
        entry_vms: 3,
        zones: 3,
    };
    let server = PlatformServer::start(site.platform()).expect("the platform must start");
    let client = HttpPlatform::new(server.addr(), server.addr());
    (server, client)
}

fn options(text: &str, id: u128) -> publish::Options {
    publish::Options {
        file: note::parse(text).expect("the example note must parse"),
        id: NoteId(id),
        retry_delay: Duration::from_millis(1),
        ..publish::Options::default()
    }
}

#[test]
fn a_lost_answer_publishes_once() {
    let (server, client) = platform(31);
    server.set_faults(Faults {
        lost_write_responses: 2,
        ..Faults::default()
    });
    let outcome = publish::publish(&client, &options(FIRST, 1)).expect("the note must be accepted");
    assert_eq!(outcome.revision.0, 1);
    let (_, head) = history::head(&client).expect("the store must be readable");
    assert_eq!(head.notes.len(), 1);
    let again = publish::publish(&client, &options(FIRST, 1))
        .expect("the accepted note must be found by its ID");
    assert_eq!(again.revision.0, 1);
}

#[test]
fn a_note_based_on_an_old_revision_is_rejected_with_the_changes_since() {
    let (_server, client) = platform(32);
    publish::publish(&client, &options(FIRST, 1)).expect("the note must be accepted");
    publish::publish(&client, &options(SECOND, 2)).expect("the note must be accepted");
    let err = publish::publish(&client, &options(SECOND, 3))
        .expect_err("the note is based on an old revision");
    assert_eq!(err.kind(), ErrorKind::NoteConflict);
    assert_eq!(exit::code(err.kind()), 4);
    let text = err.to_string();
    for part in ["adds target timetable/t3", "withdraws target timetable/t1"] {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn of_two_publishers_at_once_exactly_one_wins() {
    let (_server, client) = platform(33);
    let results: Vec<_> = std::thread::scope(|scope| {
        let publishers: Vec<_> = (1..=6)
            .map(|id| {
                let client = &client;
                scope.spawn(move || publish::publish(client, &options(FIRST, id)))
            })
            .collect();
        publishers
            .into_iter()
            .map(|publisher| publisher.join().expect("the publisher must not panic"))
            .collect()
    });
    let accepted = results.iter().filter(|r| r.is_ok()).count();
    assert_eq!(accepted, 1, "{results:?}");
    let (_, head) = history::head(&client).expect("the store must be readable");
    assert_eq!(head.revision, 1);
}

#[test]
fn an_invalid_note_is_not_written_to_the_store() {
    let (server, client) = platform(34);
    let err = publish::publish(
        &client,
        &options(SECOND.replace("base = 1", "").as_str(), 1),
    )
    .expect_err("the service of the note does not exist");
    assert_eq!(exit::code(err.kind()), 3);
    assert_eq!(server.counts().writes, 0);
}

#[test]
fn publication_fails_with_its_exit_code_when_the_store_is_down() {
    let (server, client) = platform(35);
    server.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let err = publish::publish(&client, &options(FIRST, 1)).expect_err("the store is down");
    assert_eq!(exit::code(err.kind()), 5);
}

#[test]
fn a_catalog_is_read_from_a_snapshot_without_the_notes_before_it() {
    let (server, client) = platform(36);
    let publish = |text: &str, id: u128| {
        let options = publish::Options {
            notes_per_snapshot: 2,
            now_ms: 1_700_000_000_000 + id as u64,
            ..options(text, id)
        };
        publish::publish(&client, &options).expect("the note must be accepted")
    };
    publish(FIRST, 1);
    publish(SECOND, 2);
    let (_, head) = history::head(&client).expect("the store must be readable");
    let snapshot = head
        .snapshot
        .clone()
        .expect("a snapshot is due after two notes");
    assert_eq!(snapshot.revision, 2);
    let before = server.counts().reads;
    let catalog = history::catalog(&client, &head).expect("the store must be readable");
    assert_eq!(
        server.counts().reads - before,
        1,
        "only the snapshot must be read, no note"
    );
    assert_eq!(catalog.revision().0, 2);
    let third = publish("[withdraw]\ntarget = [\"timetable/t2\"]\n", 3);
    assert_eq!(third.revision.0, 3);
    let (_, head) = history::head(&client).expect("the store must be readable");
    let catalog = history::catalog(&client, &head).expect("the store must be readable");
    let key = catalog
        .service_named("timetable")
        .expect("the service must be in the catalog");
    let names: Vec<&String> = catalog.service(key).targets.keys().collect();
    assert_eq!(names, ["t3"]);
}
