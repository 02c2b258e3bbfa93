//! What the core tells a driver to do.

use crate::{
    catalog::{Revision, TargetKey},
    error::ErrorKind,
    membership::{MemberId, Phase},
    message::Message,
    packet::PacketRef,
    route::RelayHeader,
};

/// One output of a [`crate::node::Node`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a packet on to a target.
    Forward {
        /// The packet.
        packet: PacketRef,
        /// The target.
        target: TargetKey,
    },
    /// Sends a packet on to another entry VM.
    Relay {
        /// The packet.
        packet: PacketRef,
        /// The entry VM.
        to: MemberId,
        /// What to say with it.
        header: RelayHeader,
    },
    /// Hands a packet to the fabric for the caller.
    ToCaller {
        /// The packet.
        packet: PacketRef,
    },
    /// Keeps a packet until a later action names it.
    Hold {
        /// The packet.
        packet: PacketRef,
    },
    /// Forgets a packet.
    Discard {
        /// The packet.
        packet: PacketRef,
        /// Why.
        kind: ErrorKind,
    },
    /// Forgets a packet and refuses its flow: a reset towards the caller for
    /// TCP, nothing for UDP. No packet of the flow was delivered.
    Refuse {
        /// The packet.
        packet: PacketRef,
        /// Why.
        kind: ErrorKind,
    },
    /// Forgets a packet and resets its flow, whose target went silent,
    /// towards the caller.
    ResetCaller {
        /// The packet, whose acknowledgement number the reset carries.
        packet: PacketRef,
    },
    /// Sends a message to another entry VM.
    Send {
        /// The entry VM.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Probes the health and load of a target.
    ProbeTarget {
        /// The target.
        target: TargetKey,
    },
    /// Starts or stops watching the store.
    WatchStore {
        /// Whether to watch.
        on: bool,
    },
    /// Says that a revision is in force here.
    InForce {
        /// The revision.
        revision: Revision,
    },
    /// Says that this entry VM entered a phase.
    EnteredPhase {
        /// The phase.
        phase: Phase,
    },
}
