//! Inputs of the core, passed by a driver.

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

/// An input of a [`crate::node::Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A packet from a caller arrived through the fabric.
    FromCaller {
        /// The handle of the packet; the driver holds its bytes.
        packet: PacketRef,
        /// The fields of its headers.
        info: PacketInfo,
    },
    /// A packet to a caller arrived from a target. The sender is not verified
    /// yet.
    FromTarget {
        /// The handle of the packet; the driver holds its bytes.
        packet: PacketRef,
        /// The fields of its headers.
        info: PacketInfo,
        /// The outer source address of the packet.
        from: Endpoint,
    },
    /// A packet from a caller was relayed by another entry VM.
    Relayed {
        /// The handle of the packet; the driver holds its bytes.
        packet: PacketRef,
        /// The fields of its headers.
        info: PacketInfo,
        /// The relay header added by that entry VM.
        header: RelayHeader,
    },
    /// A message from another entry VM arrived.
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
        /// The result of the probe.
        result: ProbeResult,
    },
    /// Time has passed; the driver sends this event every [`crate::node::TICK_INTERVAL`].
    Tick,
    /// The entry VM must stop: it leaves the fleet gracefully.
    Leave,
}
