//! Types used by most modules.

pub use crate::{
    action::Action,
    catalog::{AddressKey, Catalog, NoteId, ReleaseNote, Revision, ServiceKey, TargetKey, ZoneId},
    error::ErrorKind,
    event::Event,
    flow::{Endpoint, FlowKey, Protocol},
    membership::MemberId,
    packet::{Direction, PacketInfo, PacketKind, PacketRef},
    time::{Duration, Instant},
};
