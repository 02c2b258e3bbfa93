//! Datagrams: from the fabric and targets, and from other entry VMs.

use std::{
    net::SocketAddr,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use cicadaweir_core::{hash, packet::Direction, prelude::*};
use cicadaweir_proto::{codec, relay};

use crate::{
    socket::BatchSocket,
    tunnel::{self, Inner},
};

use super::{
    engine::Engine,
    outputs::{Current, MESSAGE_MAGIC},
};

impl Engine {
    /// Takes a datagram from the tunnel socket: from the fabric, or from a
    /// target.
    pub fn tunnel_datagram(
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
        let Some(inner) = self.inner(bytes, from) else {
            return;
        };
        let info = inner.info(direction);
        let current = self.current(bytes, &info, 0);
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
        self.step(tunnel, peer, event, Some(current));
    }

    fn inner(&mut self, bytes: &[u8], from: SocketAddr) -> Option<Inner> {
        match tunnel::decapsulate(bytes).and_then(tunnel::read) {
            Ok(inner) => Some(inner),
            Err(kind) => {
                self.counters.error(kind, format_args!("from {from}"));
                None
            }
        }
    }

    fn current<'a>(&mut self, bytes: &'a [u8], info: &PacketInfo, trace: u64) -> Current<'a> {
        if let Some(stopping) = &mut self.stopping {
            stopping.record_packet(Instant::now());
        }
        let trace = if trace == 0 {
            self.tracer
                .sample(|| hash::flow(&self.hash_key, &info.flow))
        } else {
            trace
        };
        Current {
            packet: self.pool.offer(),
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

    /// Takes a datagram from the peer socket: a message, or a relayed packet.
    pub fn peer_datagram(
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
            Some(&MESSAGE_MAGIC) => self.message(tunnel, peer, from, &bytes[2..]),
            Some(&relay::MAGIC) => self.relayed(tunnel, peer, from, bytes),
            _ => self
                .counters
                .error(ErrorKind::PeerMalformed, format_args!("from {from}")),
        }
    }

    fn message(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let (sender, message) = match codec::decode(bytes) {
            Ok(decoded) => decoded,
            Err(err) => {
                return self
                    .counters
                    .error(err.kind(), format_args!("from {from}: {err}"));
            }
        };
        if !self.node.accepts_source(sender, &from.into(), &message) {
            return self.counters.error(
                ErrorKind::PeerUnknown,
                format_args!("{from} is not {sender}"),
            );
        }
        let event = Event::Message {
            from: sender,
            message,
        };
        self.step(tunnel, peer, event, None);
    }

    fn is_address_of(&self, member: MemberId, from: SocketAddr) -> bool {
        let known = self.node.view().get(member);
        known.is_some_and(|m| m.record.address == from.into())
    }

    fn relayed(
        &mut self,
        tunnel: &BatchSocket,
        peer: &BatchSocket,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let (header, trace, datagram) = match relay::decode(bytes) {
            Ok(decoded) => decoded,
            Err(kind) => return self.counters.error(kind, format_args!("from {from}")),
        };
        if !self.is_address_of(header.from, from) {
            return self.counters.error(
                ErrorKind::PeerUnknown,
                format_args!("{from} is not {}", header.from),
            );
        }
        let Some(inner) = self.inner(datagram, from) else {
            return;
        };
        let info = inner.info(Direction::ToTarget);
        let current = self.current(datagram, &info, trace);
        let event = Event::Relayed {
            packet: current.packet,
            info,
            header,
        };
        self.trace(Some(current), "relayed", || info.flow.to_string());
        self.step(tunnel, peer, event, Some(current));
    }
}
