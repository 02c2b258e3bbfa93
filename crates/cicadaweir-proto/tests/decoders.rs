//! Round trips through the codecs, and decoding of invalid input without panics.

use std::sync::Arc;

use cicadaweir_core::{
    catalog::{
        Change, Content, GenerationPart, NoteId, Part, ReleaseNote, Revision, ServicePart,
        TargetKey, ZoneId,
    },
    flow::Endpoint,
    load::{LoadUpdate, Mark, MarkUpdate},
    membership::{Health, MemberId, MemberUpdate, Phase},
    message::{FlowException, FlowRecord, Gossip, Message},
    route::RelayHeader,
    time::Duration,
};
use cicadaweir_proto::{
    codec::{self, CodecError},
    note, relay,
};
use proptest::prelude::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

fn member(id: u32) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(id),
        incarnation: 1 << 41 | u64::from(id),
        phase: Phase::Leaving,
        health: Health::Suspect,
        zone: ZoneId(3),
        address: Endpoint {
            ip: [id as u8; 16],
            port: 7070,
        },
    }
}

fn gossip() -> Gossip {
    Gossip {
        known: Revision(9),
        agreed: Revision(8),
        view: u64::MAX,
        members: vec![member(1), member(2)],
        marks: vec![MarkUpdate {
            target: TargetKey(5),
            version: 2,
            mark: Mark::Down,
            remote: true,
        }],
        loads: vec![LoadUpdate {
            target: TargetKey(6),
            version: 1,
            open: 2,
            pending: 3,
            rate: 4,
        }],
    }
}

fn part() -> Part {
    Part {
        revision: Revision(9),
        note: NoteId(8),
        number: 1,
        count: 2,
        content: Content::Services(vec![ServicePart {
            name: "board".into(),
            addresses: vec![],
            withdrawn: Some(Revision(3)),
            generations: vec![GenerationPart {
                revision: Revision(2),
                superseded: Some(Duration::from_millis(5)),
                targets: vec![(TargetKey(1), 100)],
            }],
        }]),
    }
}

fn all_messages() -> Vec<Message> {
    let release = ReleaseNote {
        revision: Revision(4),
        id: NoteId(77),
        published_ms: 5,
        changes: vec![Change::WithdrawService {
            service: "board".into(),
        }],
    };
    vec![
        Message::Probe {
            sequence: 1,
            gossip: gossip(),
        },
        Message::ProbeAnswer {
            member: MemberId(2),
            sequence: 3,
            gossip: gossip(),
        },
        Message::IndirectProbeRequest {
            member: MemberId(4),
            sequence: 5,
        },
        Message::MembersRequest { start: 6 },
        Message::Members {
            start: 7,
            members: vec![member(8)],
            more: true,
        },
        Message::Known {
            revision: Revision(9),
        },
        Message::Revisions {
            known: Revision(3),
            agreed: Revision(2),
        },
        Message::Marks {
            marks: gossip().marks,
        },
        Message::NotesRequest { have: Revision(1) },
        Message::Notes {
            notes: vec![(Arc::new(release), Duration::from_millis(70))],
            agreed: Revision(3),
        },
        Message::ExceptionsRequest {
            slots: vec![1, 4095],
            take_over: true,
        },
        Message::Exceptions {
            flows: vec![FlowException {
                flow_hash: 1 << 63,
                target: TargetKey(2),
            }],
            last: true,
            take_over: false,
        },
        Message::PartRequest { number: 4 },
        Message::Part {
            part: Box::new(part()),
            agreed: Revision(8),
        },
        Message::Lookup { flow_hash: 3 },
        Message::LookupAnswer {
            flow_hash: 4,
            record: Some(FlowRecord {
                target: TargetKey(5),
                target_silence: Duration::from_millis(6),
                unanswered: true,
            }),
        },
        Message::LookupAnswer {
            flow_hash: 4,
            record: None,
        },
        Message::TargetUnresponsive {
            flow_hash: 7,
            target: TargetKey(8),
        },
    ]
}

#[test]
fn every_message_round_trips() {
    for message in all_messages() {
        let mut buf = Vec::new();
        codec::encode(MemberId(42), &message, &mut buf);
        assert_eq!(codec::decode(&buf), Ok((MemberId(42), message)));
    }
}

#[test]
fn a_message_of_another_version_is_rejected_with_its_version() {
    let mut builder = capnp::message::Builder::new_default();
    let mut envelope = builder.init_root::<cicadaweir_proto::peer_capnp::envelope::Builder<'_>>();
    envelope.set_version(codec::VERSION + 1);
    let mut buf = Vec::new();
    capnp::serialize_packed::write_message(&mut buf, &builder)
        .expect("writing to a Vec cannot fail");
    assert_eq!(
        codec::decode(&buf),
        Err(CodecError::Version(codec::VERSION + 1))
    );
}

#[test]
fn a_relay_header_round_trips_and_a_truncated_one_is_rejected() {
    let header = RelayHeader {
        from: MemberId(7),
        view: 1 << 60,
        known: Revision(5),
        hops: 2,
    };
    let mut buf = relay::encode(&header, 99).to_vec();
    buf.extend_from_slice(b"inner");
    assert_eq!(relay::decode(&buf), Ok((header, 99, &b"inner"[..])));
    for end in 0..=relay::HEADER_BYTES {
        assert!(relay::decode(&buf[..end]).is_err(), "{end} bytes");
    }
    buf[2] += 1;
    assert_eq!(
        relay::decode(&buf).map(|_| ()),
        Err(cicadaweir_core::error::ErrorKind::PeerVersion)
    );
}

#[test]
fn example_notes_parse_and_their_records_round_trip() {
    for text in [
        include_str!("../../../examples/first-note.toml"),
        include_str!("../../../examples/second-note.toml"),
    ] {
        let file = note::parse(text).expect("the example note must parse");
        let release = ReleaseNote {
            revision: Revision(1),
            id: NoteId(1),
            published_ms: 1,
            changes: file
                .changes()
                .expect("the values of the example note must be valid"),
        };
        let record = note::to_json(&release);
        assert_eq!(note::from_json(&record), Ok(release));
    }
}

#[test]
fn errors_of_invalid_notes_name_the_key_the_value_or_the_expected_form() {
    let cases = [
        (
            "[[add.service]]\nname = \"a\"\naddresses = [\"http://1.2.3.4:5\"]",
            "tcp://IP:PORT",
        ),
        (
            "[[add.service]]\nname = \"a\"\naddresses = [\"tcp://host:5\"]",
            "tcp://host:5",
        ),
        ("[withdraw]\ntarget = [\"t1\"]", "SERVICE/TARGET"),
        (
            "[[add.target]]\nname = \"t\"\nendpoint = \"1.2.3.4\"\nzone = 0",
            "add.target.service",
        ),
        (
            "[[add.target]]\nservice = \"a\"\nname = \"t\"\nendpoint = \"0.0.0.0\"\nzone = 0",
            "target.endpoint",
        ),
    ];
    for (text, expected) in cases {
        let err = note::parse(text)
            .and_then(|file| file.changes())
            .expect_err(expected);
        assert!(err.to_string().contains(expected), "{err}");
    }
    let err = note::parse("[[add.servcie]]").expect_err("an unknown key must be rejected");
    assert!(err.to_string().contains("servcie"), "{err}");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_do_not_panic_a_decoder(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = codec::decode(&bytes);
        let _ = relay::decode(&bytes);
        let _ = note::from_json(&bytes);
        let _ = cicadaweir_proto::list::from_json(&bytes);
        let _ = note::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_corrupted_or_truncated_message_does_not_panic_the_decoder(
        which in 0usize..18, at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>()
    ) {
        let messages = all_messages();
        let mut buf = Vec::new();
        codec::encode(MemberId(1), &messages[which % messages.len()], &mut buf);
        let at = at.index(buf.len());
        buf[at] = byte;
        let _ = codec::decode(&buf);
        buf.truncate(cut.index(buf.len()) + 1);
        let _ = codec::decode(&buf);
    }
}
