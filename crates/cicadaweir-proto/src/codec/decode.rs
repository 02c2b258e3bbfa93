//! Decoding of peer messages.

use std::sync::Arc;

use capnp::{message::ReaderOptions, serialize_packed};
use cicadaweir_core::{
    catalog::{Revision, TargetKey, ZoneId},
    flow::Endpoint,
    load::{LoadUpdate, Mark, MarkUpdate},
    membership::{Health, MemberId, MemberUpdate, Phase},
    message::{FlowException, FlowRecord, Gossip, Message},
    time::Duration,
};

use crate::{note, peer_capnp};

use super::CodecError;

/// The maximum number of 8-byte words to traverse in a message. Protects against
/// small messages whose pointers expand into large amounts of data.
const MAX_TRAVERSED_WORDS: usize = 1 << 18;

/// Decodes a message; returns its sender and the message.
///
/// # Errors
///
/// [`CodecError`] if the message has another version or is malformed.
pub fn decode(mut bytes: &[u8]) -> Result<(MemberId, Message), CodecError> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_TRAVERSED_WORDS));
    let reader = serialize_packed::read_message(&mut bytes, options)?;
    let envelope = reader.get_root::<peer_capnp::envelope::Reader<'_>>()?;
    if envelope.get_version() != super::VERSION {
        return Err(CodecError::Version(envelope.get_version()));
    }
    let sender = MemberId(envelope.get_sender());
    Ok((sender, decode_body(envelope)?))
}

fn decode_body(envelope: peer_capnp::envelope::Reader<'_>) -> Result<Message, CodecError> {
    use peer_capnp::envelope::Which;
    Ok(match envelope.which()? {
        Which::Probe(r) => Message::Probe {
            sequence: r.get_sequence(),
            gossip: gossip(r.get_gossip()?)?,
        },
        Which::ProbeAnswer(r) => Message::ProbeAnswer {
            member: MemberId(r.get_member()),
            sequence: r.get_probed(),
            gossip: gossip(r.get_news()?)?,
        },
        Which::ProbeFor(r) => Message::IndirectProbeRequest {
            member: MemberId(r.get_third()),
            sequence: r.get_number(),
        },
        Which::MembersWanted(r) => Message::MembersRequest {
            start: r.get_start(),
        },
        Which::Members(r) => Message::Members {
            start: r.get_first(),
            members: members(r.get_records()?)?,
            more: r.get_more(),
        },
        Which::Known(r) => Message::Known {
            revision: Revision(r.get_revision()),
        },
        Which::Revisions(r) => Message::Revisions {
            known: Revision(r.get_newest()),
            agreed: Revision(r.get_in_force()),
        },
        Which::Marks(r) => Message::Marks {
            marks: marks(r.get_urgent()?)?,
        },
        Which::NotesWanted(r) => Message::NotesRequest {
            have: Revision(r.get_have()),
        },
        Which::Notes(r) => Message::Notes {
            notes: r
                .get_notes()?
                .iter()
                .zip(r.get_ages_ms()?.iter())
                .map(|(bytes, age)| Ok((release_note(bytes?)?, Duration::from_millis(age))))
                .collect::<Result<_, CodecError>>()?,
            agreed: Revision(r.get_agreed()),
        },
        Which::PartWanted(r) => Message::PartRequest {
            number: r.get_number(),
        },
        Which::Part(r) => Message::Part {
            part: Box::new(
                note::part_from_json(r.get_part()?)
                    .map_err(|err| CodecError::Malformed(err.to_string()))?,
            ),
            agreed: Revision(r.get_agreed()),
        },
        Which::ExceptionsWanted(r) => Message::ExceptionsRequest {
            slots: r.get_slots()?.iter().collect(),
            take_over: r.get_take_over(),
        },
        Which::Exceptions(r) => Message::Exceptions {
            flows: r
                .get_flows()?
                .iter()
                .map(|f| FlowException {
                    flow_hash: f.get_flow_hash(),
                    target: TargetKey(f.get_target()),
                })
                .collect(),
            last: r.get_last(),
            take_over: r.get_took_over(),
        },
        Which::Lookup(r) => Message::Lookup {
            flow_hash: r.get_flow_hash(),
        },
        Which::Broken(r) => Message::TargetUnresponsive {
            flow_hash: r.get_broken(),
            target: TargetKey(r.get_silent()),
        },
        Which::LookupAnswer(r) => Message::LookupAnswer {
            flow_hash: r.get_hash(),
            record: r.get_found().then(|| FlowRecord {
                target: TargetKey(r.get_target()),
                target_silence: Duration::from_millis(u64::from(r.get_silence_ms())),
                unanswered: r.get_unanswered(),
            }),
        },
    })
}

fn release_note(bytes: &[u8]) -> Result<Arc<cicadaweir_core::catalog::ReleaseNote>, CodecError> {
    note::from_json(bytes)
        .map(Arc::new)
        .map_err(|err| CodecError::Malformed(err.to_string()))
}

fn gossip(r: peer_capnp::gossip::Reader<'_>) -> Result<Gossip, CodecError> {
    Ok(Gossip {
        known: Revision(r.get_known()),
        agreed: Revision(r.get_agreed()),
        view: r.get_view(),
        members: members(r.get_members()?)?,
        marks: marks(r.get_marks()?)?,
        loads: r
            .get_loads()?
            .iter()
            .map(|l| LoadUpdate {
                target: TargetKey(l.get_target()),
                version: l.get_version(),
                open: l.get_open(),
                pending: l.get_pending(),
                rate: l.get_rate(),
            })
            .collect(),
    })
}

fn marks(
    list: capnp::struct_list::Reader<'_, peer_capnp::mark::Owned>,
) -> Result<Vec<MarkUpdate>, CodecError> {
    list.iter().map(mark).collect()
}

fn mark(r: peer_capnp::mark::Reader<'_>) -> Result<MarkUpdate, CodecError> {
    let number = r.get_mark();
    let mark = Mark::from_number(number)
        .ok_or_else(|| CodecError::Malformed(format!("unknown mark {number}; expected 0 to 4")))?;
    Ok(MarkUpdate {
        target: TargetKey(r.get_target()),
        version: r.get_version(),
        mark,
        remote: r.get_remote(),
    })
}

fn members(
    list: capnp::struct_list::Reader<'_, peer_capnp::member::Owned>,
) -> Result<Vec<MemberUpdate>, CodecError> {
    list.iter().map(member).collect()
}

fn member(r: peer_capnp::member::Reader<'_>) -> Result<MemberUpdate, CodecError> {
    Ok(MemberUpdate {
        id: MemberId(r.get_id()),
        incarnation: r.get_incarnation(),
        phase: phase(r.get_phase())?,
        health: health(r.get_health())?,
        zone: ZoneId(r.get_zone()),
        address: endpoint(r.get_address()?),
    })
}

fn phase(number: u8) -> Result<Phase, CodecError> {
    match number {
        0 => Ok(Phase::Joining),
        1 => Ok(Phase::Active),
        2 => Ok(Phase::Leaving),
        3 => Ok(Phase::Left),
        _ => Err(CodecError::Malformed(format!(
            "unknown phase {number}; expected 0 to 3"
        ))),
    }
}

fn health(number: u8) -> Result<Health, CodecError> {
    match number {
        0 => Ok(Health::Alive),
        1 => Ok(Health::Suspect),
        2 => Ok(Health::Dead),
        _ => Err(CodecError::Malformed(format!(
            "unknown health {number}; expected 0 to 2"
        ))),
    }
}

fn endpoint(r: peer_capnp::endpoint::Reader<'_>) -> Endpoint {
    let ip = u128::from(r.get_high()) << 64 | u128::from(r.get_low());
    Endpoint {
        ip: ip.to_be_bytes(),
        port: r.get_port(),
    }
}
