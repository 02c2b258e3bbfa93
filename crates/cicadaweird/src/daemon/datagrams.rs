//! Handling of datagrams from the fabric, from targets and from other entry VMs.

use std::{
    net::SocketAddr,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use cicadaweir_core::{hash, packet::Direction, prelude::*};
use cicadaweir_proto::{codec, relay};

use crate::{
    socket::BatchSocket,
    tunnel::{self, InnerPacket},
};

use super::{
    engine::Engine,
    outputs::{CurrentPacket, MESSAGE_MAGIC},
};

impl Engine {
    /// Handles a datagram from the tunnel socket, sent by the fabric or by a
    /// target.
    pub fn handle_tunnel_datagram(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        if self.blocked.contains(&from.ip()) {
            return;
        }
        let direction = if from.ip() == self.fabric.ip() {
            Direction::ToTarget
        } else {
            Direction::ToCaller
        };
        let Some(inner) = self.parse_inner(bytes, from) else {
            return;
        };
        let info = inner.packet_info(direction);
        let current = self.current_packet(bytes, &info, 0);
        let packet = current.packet;
        let event = match direction {
            Direction::ToTarget => Event::FromCaller { packet, info },
            Direction::ToCaller => Event::FromTarget {
                packet,
                info,
                from: from.into(),
            },
        };
        self.trace(Some(current), "ingress", || info.flow.to_string());
        self.handle_event(tunnel, peer, event, Some(current));
    }

    fn parse_inner(&mut self, bytes: &[u8], from: SocketAddr) -> Option<InnerPacket> {
        match tunnel::decapsulate(bytes).and_then(tunnel::parse) {
            Ok(inner) => Some(inner),
            Err(kind) => {
                self.counters
                    .record_error(kind, format_args!("packet from {from} rejected"));
                None
            }
        }
    }

    /// Returns the packet that an event is about. `trace` is the trace identity
    /// from the relay header; if it is 0, the tracer decides whether to sample.
    fn current_packet<'a>(
        &mut self,
        bytes: &'a [u8],
        info: &PacketInfo,
        trace: u64,
    ) -> CurrentPacket<'a> {
        if let Some(stopping) = &mut self.stopping {
            stopping.record_packet(Instant::now());
        }
        let trace = if trace == 0 {
            self.tracer
                .sample(|| hash::flow(&self.hash_key, &info.flow))
        } else {
            trace
        };
        CurrentPacket {
            packet: self.pool.next_handle(),
            flow: info.flow,
            bytes,
            trace,
            arrived: if trace == 0 {
                UNIX_EPOCH
            } else {
                SystemTime::now()
            },
        }
    }

    /// Handles a datagram from the peer socket: a message or a relayed packet.
    pub fn handle_peer_datagram(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        if self.blocked.contains(&from.ip()) {
            return;
        }
        match bytes.first_chunk::<2>() {
            Some(&MESSAGE_MAGIC) => self.handle_message(tunnel, peer, from, &bytes[2..]),
            Some(&relay::MAGIC) => self.handle_relayed(tunnel, peer, from, bytes),
            _ => self.counters.record_error(
                ErrorKind::PeerMalformed,
                format_args!("datagram from {from} rejected"),
            ),
        }
    }

    fn handle_message(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let (sender, message) = match codec::decode(bytes) {
            Ok(decoded) => decoded,
            Err(err) => {
                return self.counters.record_error(
                    err.kind(),
                    format_args!("message from {from} rejected: {err}"),
                );
            }
        };
        if !self.node.accepts_source(sender, &from.into(), &message) {
            return self.counters.record_error(
                ErrorKind::PeerUnknown,
                format_args!("message from {from} rejected: not the address of entry VM {sender}"),
            );
        }
        let event = Event::Message {
            from: sender,
            message,
        };
        self.handle_event(tunnel, peer, event, None);
    }

    /// Returns whether `from` is the known address of a member.
    fn is_address_of(&self, member: MemberId, from: SocketAddr) -> bool {
        let known = self.node.view().get(member);
        known.is_some_and(|m| m.record.address == from.into())
    }

    fn handle_relayed(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let (header, trace, datagram) = match relay::decode(bytes) {
            Ok(decoded) => decoded,
            Err(kind) => {
                return self
                    .counters
                    .record_error(kind, format_args!("relayed packet from {from} rejected"));
            }
        };
        if !self.is_address_of(header.from, from) {
            return self.counters.record_error(
                ErrorKind::PeerUnknown,
                format_args!(
                    "relayed packet from {from} rejected: not the address of entry VM {}",
                    header.from
                ),
            );
        }
        let Some(inner) = self.parse_inner(datagram, from) else {
            return;
        };
        let info = inner.packet_info(Direction::ToTarget);
        let current = self.current_packet(datagram, &info, trace);
        let event = Event::Relayed {
            packet: current.packet,
            info,
            header,
        };
        self.trace(Some(current), "relayed", || info.flow.to_string());
        self.handle_event(tunnel, peer, event, Some(current));
    }
}
