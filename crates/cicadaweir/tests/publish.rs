//! Publishing against a stand-in of the platform that misbehaves.

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

fn platform(number: u8) -> (PlatformServer, HttpPlatform) {
    let site = Site {
        number,
        entry_vms: 3,
        zones: 3,
    };
    let server = PlatformServer::start(site.platform()).expect("the platform starts");
    let client = HttpPlatform::new(server.addr(), server.addr());
    (server, client)
}

fn options(text: &str, id: u128) -> publish::Options {
    publish::Options {
        file: note::parse(text).expect("an example parses"),
        id: NoteId(id),
        pause: Duration::from_millis(1),
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
    let outcome = publish::publish(&client, &options(FIRST, 1)).expect("accepted");
    assert_eq!(outcome.revision.0, 1);
    let (_, head) = history::head(&client).expect("readable");
    assert_eq!(head.notes.len(), 1);
    let again = publish::publish(&client, &options(FIRST, 1)).expect("known by its identity");
    assert_eq!(again.revision.0, 1);
}

#[test]
fn the_loser_of_a_race_is_told_what_changed() {
    let (_server, client) = platform(32);
    publish::publish(&client, &options(FIRST, 1)).expect("accepted");
    publish::publish(&client, &options(SECOND, 2)).expect("accepted");
    let err = publish::publish(&client, &options(SECOND, 3)).expect_err("an old base");
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
        let started: Vec<_> = (1..=6)
            .map(|id| {
                let client = &client;
                scope.spawn(move || publish::publish(client, &options(FIRST, id)))
            })
            .collect();
        started
            .into_iter()
            .map(|run| run.join().expect("no publisher panics"))
            .collect()
    });
    let won = results.iter().filter(|r| r.is_ok()).count();
    assert_eq!(won, 1, "{results:?}");
    let (_, head) = history::head(&client).expect("readable");
    assert_eq!(head.revision, 1);
}

#[test]
fn an_invalid_note_reaches_no_store() {
    let (server, client) = platform(34);
    let err = publish::publish(
        &client,
        &options(SECOND.replace("base = 1", "").as_str(), 1),
    )
    .expect_err("its service does not exist");
    assert_eq!(exit::code(err.kind()), 3);
    assert_eq!(server.counts().writes, 0);
}

#[test]
fn an_outage_leaves_the_note_unpublished_and_says_so() {
    let (server, client) = platform(35);
    server.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let err = publish::publish(&client, &options(FIRST, 1)).expect_err("nobody answers");
    assert_eq!(exit::code(err.kind()), 5);
}

#[test]
fn a_snapshot_stands_in_for_the_notes_before_it() {
    let (server, client) = platform(36);
    let publish = |text: &str, id: u128| {
        let options = publish::Options {
            snapshot_every: 2,
            now_ms: 1_700_000_000_000 + id as u64,
            ..options(text, id)
        };
        publish::publish(&client, &options).expect("accepted")
    };
    publish(FIRST, 1);
    publish(SECOND, 2);
    let (_, head) = history::head(&client).expect("readable");
    let snapshot = head.snapshot.clone().expect("one is due after two notes");
    assert_eq!(snapshot.revision, 2);
    let before = server.counts().reads;
    let catalog = history::catalog(&client, &head).expect("readable");
    assert_eq!(server.counts().reads - before, 1, "no note is replayed");
    assert_eq!(catalog.revision().0, 2);
    let third = publish("[withdraw]\ntarget = [\"timetable/t2\"]\n", 3);
    assert_eq!(third.revision.0, 3);
    let (_, head) = history::head(&client).expect("readable");
    let catalog = history::catalog(&client, &head).expect("readable");
    let key = catalog.service_named("timetable").expect("known");
    let names: Vec<&String> = catalog.service(key).targets.keys().collect();
    assert_eq!(names, ["t3"]);
}
