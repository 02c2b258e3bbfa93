//! IP packets with TCP or UDP inside.

use std::net::{IpAddr, SocketAddr};

use cicadaweir_core::flow::Protocol;
use etherparse::{NetSlice, PacketBuilder, PacketBuilderStep, SlicedPacket, TransportSlice};

/// The hop limit of packets made here.
const HOP_LIMIT: u8 = 64;

/// The window that every TCP segment offers, in bytes.
const WINDOW: u16 = 65_000;

/// TCP flags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Flags {
    /// Opens.
    pub syn: bool,
    /// Acknowledges.
    pub ack: bool,
    /// Closes.
    pub fin: bool,
    /// Resets.
    pub rst: bool,
}

/// One TCP segment or UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The transport protocol.
    pub protocol: Protocol,
    /// Where it comes from.
    pub source: SocketAddr,
    /// Where it goes.
    pub destination: SocketAddr,
    /// TCP flags; none for UDP.
    pub flags: Flags,
    /// The TCP sequence number.
    pub sequence: u32,
    /// The TCP acknowledgement number.
    pub acknowledgement: u32,
    /// What it carries.
    pub payload: Vec<u8>,
}

impl Segment {
    /// Makes an empty segment.
    pub fn new(protocol: Protocol, source: SocketAddr, destination: SocketAddr) -> Self {
        Self {
            protocol,
            source,
            destination,
            flags: Flags::default(),
            sequence: 0,
            acknowledgement: 0,
            payload: Vec::new(),
        }
    }

    /// Writes the segment as an IP packet.
    ///
    /// # Panics
    ///
    /// If source and destination are of different IP versions, or the payload
    /// is larger than an IP packet.
    pub fn write(&self, buf: &mut Vec<u8>) {
        buf.clear();
        let step = ip_step(self.source.ip(), self.destination.ip());
        let (from, to) = (self.source.port(), self.destination.port());
        let written = match self.protocol {
            Protocol::Udp => step.udp(from, to).write(buf, &self.payload),
            Protocol::Tcp => self.tcp_step(step).write(buf, &self.payload),
        };
        written.expect("a segment fits an IP packet");
    }

    fn tcp_step(
        &self,
        step: PacketBuilderStep<etherparse::IpHeaders>,
    ) -> PacketBuilderStep<etherparse::TcpHeader> {
        let (from, to) = (self.source.port(), self.destination.port());
        let mut tcp = step.tcp(from, to, self.sequence, WINDOW);
        if self.flags.syn {
            tcp = tcp.syn();
        }
        if self.flags.ack {
            tcp = tcp.ack(self.acknowledgement);
        }
        if self.flags.fin {
            tcp = tcp.fin();
        }
        if self.flags.rst {
            tcp = tcp.rst();
        }
        tcp
    }

    /// Reads a segment from an IP packet.
    pub fn read(packet: &[u8]) -> Option<Self> {
        let sliced = SlicedPacket::from_ip(packet).ok()?;
        let (source, destination): (IpAddr, IpAddr) = match sliced.net? {
            NetSlice::Ipv4(ip) => (
                ip.header().source_addr().into(),
                ip.header().destination_addr().into(),
            ),
            NetSlice::Ipv6(ip) => (
                ip.header().source_addr().into(),
                ip.header().destination_addr().into(),
            ),
            _ => return None,
        };
        match sliced.transport? {
            TransportSlice::Udp(udp) => Some(Self {
                payload: udp.payload().to_vec(),
                ..Self::new(
                    Protocol::Udp,
                    (source, udp.source_port()).into(),
                    (destination, udp.destination_port()).into(),
                )
            }),
            TransportSlice::Tcp(tcp) => Some(Self {
                flags: Flags {
                    syn: tcp.syn(),
                    ack: tcp.ack(),
                    fin: tcp.fin(),
                    rst: tcp.rst(),
                },
                sequence: tcp.sequence_number(),
                acknowledgement: tcp.acknowledgment_number(),
                payload: tcp.payload().to_vec(),
                ..Self::new(
                    Protocol::Tcp,
                    (source, tcp.source_port()).into(),
                    (destination, tcp.destination_port()).into(),
                )
            }),
            _ => None,
        }
    }

    /// Returns an empty segment in the other direction that acknowledges
    /// this one.
    pub fn answer(&self, sequence: u32) -> Self {
        let used =
            self.payload.len() as u32 + u32::from(self.flags.syn) + u32::from(self.flags.fin);
        Self {
            flags: Flags {
                ack: true,
                ..Flags::default()
            },
            sequence,
            acknowledgement: self.sequence.wrapping_add(used),
            ..Self::new(self.protocol, self.destination, self.source)
        }
    }
}

fn ip_step(source: IpAddr, destination: IpAddr) -> PacketBuilderStep<etherparse::IpHeaders> {
    match (source, destination) {
        (IpAddr::V4(a), IpAddr::V4(b)) => PacketBuilder::ipv4(a.octets(), b.octets(), HOP_LIMIT),
        (IpAddr::V6(a), IpAddr::V6(b)) => PacketBuilder::ipv6(a.octets(), b.octets(), HOP_LIMIT),
        _ => panic!("{source} and {destination} are of different IP versions"),
    }
}
