//! Encoding of peer messages.

use capnp::{message::Builder, serialize_packed};
use cicadaweir_core::{
    flow::Endpoint,
    load::MarkUpdate,
    membership::{MemberId, MemberUpdate},
    message::{FlowRecord, Gossip, Message},
};

use crate::{note, peer_capnp};

/// Encodes a message and appends it to `buf`.
///
/// # Panics
///
/// Panics if a list has 2^32 or more elements.
pub fn encode(sender: MemberId, message: &Message, buf: &mut Vec<u8>) {
    let mut builder = Builder::new_default();
    let mut envelope = builder.init_root::<peer_capnp::envelope::Builder<'_>>();
    envelope.set_version(super::VERSION);
    envelope.set_sender(sender.0);
    fill_envelope(envelope, message);
    serialize_packed::write_message(buf, &builder).expect("writing to a Vec cannot fail");
}

fn fill_envelope(envelope: peer_capnp::envelope::Builder<'_>, message: &Message) {
    match message {
        Message::Probe { sequence, gossip } => {
            let mut b = envelope.init_probe();
            b.set_sequence(*sequence);
            fill_gossip(b.init_gossip(), gossip);
        }
        Message::ProbeAnswer {
            member,
            sequence,
            gossip,
        } => {
            let mut b = envelope.init_probe_answer();
            b.set_member(member.0);
            b.set_probed(*sequence);
            fill_gossip(b.init_news(), gossip);
        }
        Message::IndirectProbeRequest { member, sequence } => {
            let mut b = envelope.init_probe_for();
            b.set_third(member.0);
            b.set_number(*sequence);
        }
        Message::MembersRequest { start } => envelope.init_members_wanted().set_start(*start),
        Message::Members {
            start,
            members,
            more,
        } => {
            let mut b = envelope.init_members();
            b.set_first(*start);
            b.set_more(*more);
            fill_members(b.init_records(members.len() as u32), members);
        }
        Message::Known { revision } => envelope.init_known().set_revision(revision.0),
        Message::Revisions { known, agreed } => {
            let mut b = envelope.init_revisions();
            b.set_newest(known.0);
            b.set_in_force(agreed.0);
        }
        Message::Marks { marks } => {
            let list = envelope.init_marks().init_urgent(marks.len() as u32);
            fill_marks(list, marks);
        }
        Message::NotesRequest { have } => envelope.init_notes_wanted().set_have(have.0),
        Message::Notes { notes, agreed } => {
            let mut b = envelope.init_notes();
            b.set_agreed(agreed.0);
            let mut list = b.reborrow().init_notes(notes.len() as u32);
            for (index, (release, _)) in (0..).zip(notes) {
                list.set(index, &note::to_json(release));
            }
            let mut ages = b.init_ages_ms(notes.len() as u32);
            for (index, (_, age)) in (0..).zip(notes) {
                ages.set(index, age.as_millis());
            }
        }
        Message::PartRequest { number } => envelope.init_part_wanted().set_number(*number),
        Message::Part { part, agreed } => {
            let mut b = envelope.init_part();
            b.set_agreed(agreed.0);
            b.set_part(&note::part_to_json(part));
        }
        Message::ExceptionsRequest { slots, take_over } => {
            let mut b = envelope.init_exceptions_wanted();
            b.set_take_over(*take_over);
            let mut list = b.init_slots(slots.len() as u32);
            for (index, &slot) in (0..).zip(slots) {
                list.set(index, slot);
            }
        }
        Message::Exceptions {
            flows,
            last,
            take_over,
        } => {
            let mut b = envelope.init_exceptions();
            b.set_last(*last);
            b.set_took_over(*take_over);
            let mut list = b.init_flows(flows.len() as u32);
            for (index, flow) in (0..).zip(flows) {
                let mut item = list.reborrow().get(index);
                item.set_flow_hash(flow.flow_hash);
                item.set_target(flow.target.0);
            }
        }
        Message::Lookup { flow_hash } => envelope.init_lookup().set_flow_hash(*flow_hash),
        Message::TargetUnresponsive { flow_hash, target } => {
            let mut b = envelope.init_broken();
            b.set_broken(*flow_hash);
            b.set_silent(target.0);
        }
        Message::LookupAnswer { flow_hash, record } => {
            let mut b = envelope.init_lookup_answer();
            b.set_hash(*flow_hash);
            if let Some(FlowRecord {
                target,
                target_silence,
                unanswered,
            }) = record
            {
                b.set_found(true);
                b.set_target(target.0);
                b.set_unanswered(*unanswered);
                b.set_silence_ms(target_silence.as_millis().min(u64::from(u32::MAX)) as u32);
            }
        }
    }
}

fn fill_gossip(mut b: peer_capnp::gossip::Builder<'_>, gossip: &Gossip) {
    b.set_known(gossip.known.0);
    b.set_agreed(gossip.agreed.0);
    b.set_view(gossip.view);
    let members = b.reborrow().init_members(gossip.members.len() as u32);
    fill_members(members, &gossip.members);
    let marks = b.reborrow().init_marks(gossip.marks.len() as u32);
    fill_marks(marks, &gossip.marks);
    let mut loads = b.init_loads(gossip.loads.len() as u32);
    for (index, load) in (0..).zip(&gossip.loads) {
        let mut item = loads.reborrow().get(index);
        item.set_target(load.target.0);
        item.set_version(load.version);
        item.set_open(load.open);
        item.set_pending(load.pending);
        item.set_rate(load.rate);
    }
}

fn fill_marks(
    mut list: capnp::struct_list::Builder<'_, peer_capnp::mark::Owned>,
    marks: &[MarkUpdate],
) {
    for (index, mark) in (0..).zip(marks) {
        let mut item = list.reborrow().get(index);
        item.set_target(mark.target.0);
        item.set_version(mark.version);
        item.set_mark(mark.mark as u8);
        item.set_remote(mark.remote);
    }
}

fn fill_members(
    mut list: capnp::struct_list::Builder<'_, peer_capnp::member::Owned>,
    members: &[MemberUpdate],
) {
    for (index, member) in (0..).zip(members) {
        let mut item = list.reborrow().get(index);
        item.set_id(member.id.0);
        item.set_incarnation(member.incarnation);
        item.set_phase(member.phase as u8);
        item.set_health(member.health as u8);
        item.set_zone(member.zone.0);
        fill_endpoint(item.init_address(), &member.address);
    }
}

fn fill_endpoint(mut b: peer_capnp::endpoint::Builder<'_>, endpoint: &Endpoint) {
    let ip = u128::from_be_bytes(endpoint.ip);
    b.set_high((ip >> 64) as u64);
    b.set_low(ip as u64);
    b.set_port(endpoint.port);
}
