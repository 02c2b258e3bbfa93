//! Executing the core's actions.

use std::{net::SocketAddr, sync::atomic::Ordering, time::SystemTime};

use cicadaweir_core::{prelude::*, route::RelayHeader};
use cicadaweir_proto::{codec, relay};
use log::info;

use crate::{control::Reply, socket::BatchSocket, tunnel};

use super::engine::Engine;

/// The first bytes of a datagram that contains a message.
pub(super) const MESSAGE_MAGIC: [u8; 2] = [0xc1, 0xcb];

/// The received packet that the current event is about.
#[derive(Debug, Clone, Copy)]
pub(super) struct CurrentPacket<'a> {
    /// The handle that the core has for the packet.
    pub packet: PacketRef,
    /// The flow of the packet.
    pub flow: FlowKey,
    /// The datagram: Geneve header and inner packet.
    pub bytes: &'a [u8],
    /// The trace identity, 0 if the packet is not traced.
    pub trace: u64,
    /// When the packet arrived; the Unix epoch if it is not traced.
    pub arrived: SystemTime,
}

impl Engine {
    /// Executes all pending actions of the core.
    pub(super) fn execute_actions(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        current: Option<CurrentPacket<'_>>,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute_action(tunnel, peer, current, action);
        }
        self.actions = actions;
    }

    fn execute_action(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        current: Option<CurrentPacket<'_>>,
        action: Action,
    ) {
        match action {
            Action::Forward { packet, target } => {
                let to = self.node.catalog().target(target).spec.endpoint.into();
                self.send_packet(tunnel, current, packet, to);
                self.trace(current, "egress", || format!("target {to}"));
            }
            Action::ToCaller { packet } => {
                let to = self.fabric;
                if !self.queue_answer(tunnel, current, packet) {
                    self.send_packet(tunnel, current, packet, to);
                }
                self.trace(current, "answer", || format!("fabric {to}"));
            }
            Action::Relay { packet, to, header } => self.relay(peer, current, packet, to, &header),
            Action::Buffer { packet } => self.store_packet(current, packet),
            Action::Discard { packet, kind } => {
                self.counters.log_error(kind, "packet discarded");
                if current.is_none_or(|c| c.packet != packet) {
                    self.pool.release(packet);
                }
            }
            Action::Refuse { packet, kind } => {
                self.counters.log_error(kind, "opening refused");
                self.send_reset(tunnel, current, packet);
            }
            Action::ResetCaller { packet } => self.send_reset(tunnel, current, packet),
            Action::Send { to, message } => self.send_message(peer, to, &message),
            Action::ProbeTarget { target } => self.request_probe(target),
            Action::WatchStore { on } => self.shared.watching.store(on, Ordering::Relaxed),
            Action::InForce { revision } => info!(revision = revision.0; "revision in force"),
            Action::EnteredPhase { phase } => info!(phase:debug = phase; "phase entered"),
        }
    }

    /// Sends the current packet, or a stored one, which is then released.
    fn send_packet(
        &mut self,
        tunnel: &BatchSocket,
        current: Option<CurrentPacket<'_>>,
        packet: PacketRef,
        to: SocketAddr,
    ) {
        let blocked = self.blocked.contains(&to.ip());
        match current.filter(|c| c.packet == packet) {
            Some(_) if blocked => {}
            Some(current) => {
                tunnel.send(to, current.bytes);
            }
            None => {
                if let Some(bytes) = self.pool.get(packet) {
                    tunnel.send(to, bytes);
                }
                self.pool.release(packet);
            }
        }
    }

    /// Queues an answer in the pacer, or drops it if the packet pool is full.
    /// Returns `false` if the answer has to be sent directly: without a pacer, or
    /// if it is not the current packet.
    fn queue_answer(
        &mut self,
        tunnel: &BatchSocket,
        current: Option<CurrentPacket<'_>>,
        packet: PacketRef,
    ) -> bool {
        let Some(current) = current.filter(|c| c.packet == packet) else {
            return false;
        };
        let hash = self.flow_hash(&current.flow);
        let Some(pacer) = &mut self.pacer else {
            return false;
        };
        if self.pool.store(packet, current.bytes) {
            let dropped = pacer.push(hash, packet, current.bytes.len());
            if let Some(dropped) = dropped {
                self.pool.release(dropped);
                self.counters
                    .record_error(ErrorKind::QueueFull, "pacing queue full, answer dropped");
            }
            self.send_paced(tunnel);
        }
        true
    }

    /// Sends the queued answers that the rate limit allows now.
    pub(super) fn send_paced(&mut self, tunnel: &BatchSocket) {
        let Some(pacer) = &mut self.pacer else {
            return;
        };
        let now = std::time::Instant::now();
        while let Some(packet) = pacer.pop(now) {
            if let Some(bytes) = self.pool.get(packet) {
                tunnel.send(self.fabric, bytes);
            }
            self.pool.release(packet);
        }
    }

    /// Sends the current packet to another entry VM behind a relay header.
    fn relay(
        &mut self,
        peer: &BatchSocket,
        current: Option<CurrentPacket<'_>>,
        packet: PacketRef,
        to: MemberId,
        header: &RelayHeader,
    ) {
        let Some(current) = current.filter(|c| c.packet == packet) else {
            return;
        };
        let Some(member) = self.node.view().get(to) else {
            return;
        };
        let address = member.record.address.into();
        self.scratch.clear();
        self.scratch
            .extend_from_slice(&relay::encode(header, current.trace));
        self.scratch.extend_from_slice(current.bytes);
        self.counters.relayed_bytes += self.scratch.len() as u64;
        self.send_peer(peer, address);
        self.trace(Some(current), "relay", || format!("entry VM {to}"));
    }

    /// Stores the current packet until the core decides on it.
    fn store_packet(&mut self, current: Option<CurrentPacket<'_>>, packet: PacketRef) {
        let Some(current) = current else {
            return;
        };
        if !self.pool.store(packet, current.bytes) {
            self.counters.record_error(
                ErrorKind::QueueFull,
                "packet pool full, pending packet dropped",
            );
        }
    }

    /// Answers the current packet with a TCP reset; a stored packet is only
    /// released.
    fn send_reset(
        &mut self,
        tunnel: &BatchSocket,
        current: Option<CurrentPacket<'_>>,
        packet: PacketRef,
    ) {
        let Some(current) = current.filter(|c| c.packet == packet) else {
            return self.pool.release(packet);
        };
        let Ok(inner) = tunnel::decapsulate(current.bytes) else {
            return;
        };
        let mut answer = Vec::new();
        if tunnel::reset_towards_caller(inner, &mut answer) {
            tunnel::encapsulate(&answer, &mut self.scratch);
            tunnel.send(self.fabric, &self.scratch);
        }
    }

    fn send_message(
        &mut self,
        peer: &BatchSocket,
        to: MemberId,
        message: &cicadaweir_core::message::Message,
    ) {
        let Some(member) = self.node.view().get(to) else {
            return;
        };
        let address = member.record.address.into();
        self.scratch.clear();
        self.scratch.extend_from_slice(&MESSAGE_MAGIC);
        codec::encode(self.member, message, &mut self.scratch);
        let kind = message.kind().name();
        *self.counters.control_bytes.entry(kind).or_default() += self.scratch.len() as u64;
        self.send_peer(peer, address);
    }

    fn send_peer(&self, peer: &BatchSocket, to: SocketAddr) {
        if !self.blocked.contains(&to.ip()) {
            peer.send(to, &self.scratch);
        }
    }

    /// Requests a probe of a target that has a probe address, unless that
    /// address is blocked.
    fn request_probe(&mut self, target: TargetKey) {
        let probe = self.node.catalog().target(target).spec.probe;
        let reachable = |e: &Endpoint| !self.blocked.contains(&SocketAddr::from(*e).ip());
        if let Some(endpoint) = probe.filter(reachable) {
            let _ = self.probes.send((target, endpoint.into()));
        }
    }

    /// Emits a trace span if the packet is sampled.
    pub(super) fn trace(
        &self,
        current: Option<CurrentPacket<'_>>,
        name: &'static str,
        detail: impl FnOnce() -> String,
    ) {
        if let Some(current) = current.filter(|c| c.trace != 0) {
            self.tracer
                .record_hop(current.trace, name, current.arrived, detail());
        }
    }

    /// Serializes a value into a reply.
    pub(super) fn json_reply(code: u16, value: &impl serde::Serialize) -> Reply {
        let body =
            serde_json::to_string(value).unwrap_or_else(|err| format!("{{\"error\":\"{err}\"}}"));
        Reply { code, body }
    }
}
