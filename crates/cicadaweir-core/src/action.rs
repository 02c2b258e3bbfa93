//! Outputs of the core, to be executed by a driver.

use crate::{
    catalog::{Revision, TargetKey},
    error::ErrorKind,
    membership::{MemberId, Phase},
    message::Message,
    packet::PacketRef,
    route::RelayHeader,
};

/// An output of a [`crate::node::Node`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Forwards a packet to a target.
    Forward {
        /// The packet.
        packet: PacketRef,
        /// The target.
        target: TargetKey,
    },
    /// Relays a packet to another entry VM.
    Relay {
        /// The packet.
        packet: PacketRef,
        /// The receiving entry VM.
        to: MemberId,
        /// The header to send with the packet.
        header: RelayHeader,
    },
    /// Sends a packet to the caller through the fabric.
    ToCaller {
        /// The packet.
        packet: PacketRef,
    },
    /// Buffers a packet until a later action refers to it.
    Buffer {
        /// The packet.
        packet: PacketRef,
    },
    /// Drops a packet.
    Discard {
        /// The packet.
        packet: PacketRef,
        /// The reason.
        kind: ErrorKind,
    },
    /// Drops a packet and refuses its flow: sends a RST to the caller for TCP,
    /// nothing for UDP. Used only if no packet of the flow has been delivered.
    Refuse {
        /// The packet.
        packet: PacketRef,
        /// The reason.
        kind: ErrorKind,
    },
    /// Drops a packet and sends a RST to the caller, because the flow's target no
    /// longer responds.
    ResetCaller {
        /// The packet; its acknowledgement number becomes the sequence number of
        /// the RST.
        packet: PacketRef,
    },
    /// Sends a message to another entry VM.
    Send {
        /// The receiving entry VM.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Probes the health and load of a target.
    ProbeTarget {
        /// The target.
        target: TargetKey,
    },
    /// Starts or stops watching the store for changes.
    WatchStore {
        /// Whether to watch the store.
        on: bool,
    },
    /// Reports that a revision has come into force on this entry VM.
    InForce {
        /// The revision.
        revision: Revision,
    },
    /// Reports that this entry VM has entered a phase of its life cycle.
    EnteredPhase {
        /// The phase.
        phase: Phase,
    },
}
