//! IP packets that carry TCP or UDP.

use std::net::{IpAddr, SocketAddr};

use cicadaweir_core::flow::Protocol;
use etherparse::{NetSlice, PacketBuilder, PacketBuilderStep, SlicedPacket, TransportSlice};

/// The hop limit (TTL in IPv4) of encoded packets.
const HOP_LIMIT: u8 = 64;

/// The receive window that every TCP segment advertises, in bytes.
const WINDOW_BYTES: u16 = 65_000;

/// TCP flags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Flags {
    /// SYN: opens a connection.
    pub syn: bool,
    /// ACK: the acknowledgement number is valid.
    pub ack: bool,
    /// FIN: closes a connection.
    pub fin: bool,
    /// RST: resets a connection.
    pub rst: bool,
}

/// One TCP segment or UDP datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The sender's address and port.
    pub source: SocketAddr,
    /// The receiver's address and port.
    pub destination: SocketAddr,
    /// The TCP flags; all unset for UDP.
    pub flags: Flags,
    /// The TCP sequence number; 0 for UDP.
    pub sequence: u32,
    /// The TCP acknowledgement number; 0 for UDP.
    pub acknowledgement: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

impl Segment {
    /// Creates a segment without flags, sequence numbers and payload.
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

    /// Encodes the segment as an IP packet into `buf`, replacing its content.
    ///
    /// # Panics
    ///
    /// If source and destination have different IP versions, or the payload
    /// does not fit in an IP packet.
    pub fn write(&self, buf: &mut Vec<u8>) {
        buf.clear();
        let step = ip_step(self.source.ip(), self.destination.ip());
        let (from, to) = (self.source.port(), self.destination.port());
        let written = match self.protocol {
            Protocol::Udp => step.udp(from, to).write(buf, &self.payload),
            Protocol::Tcp => self.tcp_step(step).write(buf, &self.payload),
        };
        written.expect("payload fits in an IP packet");
    }

    fn tcp_step(
        &self,
        step: PacketBuilderStep<etherparse::IpHeaders>,
    ) -> PacketBuilderStep<etherparse::TcpHeader> {
        let (from, to) = (self.source.port(), self.destination.port());
        let mut tcp = step.tcp(from, to, self.sequence, WINDOW_BYTES);
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

    /// Decodes a segment from an IP packet; returns `None` for malformed
    /// packets and for transports other than TCP and UDP.
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

    /// Returns an empty segment in the opposite direction that acknowledges
    /// this one.
    pub fn answer(&self, sequence: u32) -> Self {
        let consumed =
            self.payload.len() as u32 + u32::from(self.flags.syn) + u32::from(self.flags.fin);
        Self {
            flags: Flags {
                ack: true,
                ..Flags::default()
            },
            sequence,
            acknowledgement: self.sequence.wrapping_add(consumed),
            ..Self::new(self.protocol, self.destination, self.source)
        }
    }
}

fn ip_step(source: IpAddr, destination: IpAddr) -> PacketBuilderStep<etherparse::IpHeaders> {
    match (source, destination) {
        (IpAddr::V4(a), IpAddr::V4(b)) => PacketBuilder::ipv4(a.octets(), b.octets(), HOP_LIMIT),
        (IpAddr::V6(a), IpAddr::V6(b)) => PacketBuilder::ipv6(a.octets(), b.octets(), HOP_LIMIT),
        _ => panic!("{source} and {destination} have different IP versions"),
    }
}
