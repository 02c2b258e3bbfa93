//! What a driver tells the core.

use std::sync::Arc;

use crate::{
    catalog::{Part, ReleaseNote, TargetKey},
    flow::Endpoint,
    load::ProbeResult,
    membership::{ListEntry, MemberId},
    message::Message,
    packet::{PacketInfo, PacketRef},
    route::RelayHeader,
};

/// One input of a [`crate::node::Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// The fabric handed over a packet of a caller.
    FromCaller {
        /// The packet's bytes, held by the driver.
        packet: PacketRef,
        /// What its headers say.
        info: PacketInfo,
    },
    /// A target, or somebody in its place, sent a packet for a caller.
    FromTarget {
        /// The packet's bytes, held by the driver.
        packet: PacketRef,
        /// What its headers say.
        info: PacketInfo,
        /// The outer source address.
        from: Endpoint,
    },
    /// Another entry VM relayed a packet of a caller.
    Relayed {
        /// The packet's bytes, held by the driver.
        packet: PacketRef,
        /// What its headers say.
        info: PacketInfo,
        /// What the relaying entry VM says.
        header: RelayHeader,
    },
    /// A message of another entry VM arrived.
    Message {
        /// The sender.
        from: MemberId,
        /// The message.
        message: Message,
    },
    /// The platform's membership list was read.
    List(Vec<ListEntry>),
    /// A release note was read from the store.
    Note(Arc<ReleaseNote>),
    /// A snapshot of the catalog was read from the store, in parts.
    Snapshot(Vec<Part>),
    /// A probe of a target ended.
    Probed {
        /// The target.
        target: TargetKey,
        /// How it ended.
        result: ProbeResult,
    },
    /// Time passed; the driver sends one every [`crate::node::TICK_INTERVAL`].
    Tick,
    /// The entry VM is to be stopped.
    Leave,
}
