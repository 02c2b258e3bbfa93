//! Parsing the headers of an inner IP packet.

use cicadaweir_core::{
    error::ErrorKind,
    flow::{Endpoint, FlowKey, Protocol},
    packet::{Direction, PacketInfo, PacketKind},
};
use etherparse::{NetSlice, SlicedPacket, TransportSlice, err::packet::SliceError};

/// The headers of an inner packet. Which of source and destination is the caller
/// depends on the direction of travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InnerPacket {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The source address and port.
    pub source: Endpoint,
    /// The destination address and port.
    pub destination: Endpoint,
    /// The kind of packet, by its transport header.
    pub kind: PacketKind,
    /// The TCP sequence number, 0 for UDP.
    pub sequence: u32,
    /// The length of the IP packet in bytes.
    pub bytes: u16,
}

impl InnerPacket {
    /// Returns the packet's description for the core.
    pub const fn packet_info(&self, direction: Direction) -> PacketInfo {
        let (caller, address) = match direction {
            Direction::ToTarget => (self.source, self.destination),
            Direction::ToCaller => (self.destination, self.source),
        };
        PacketInfo {
            flow: FlowKey {
                protocol: self.protocol,
                caller,
                address,
            },
            direction,
            kind: self.kind,
            sequence: self.sequence,
            bytes: self.bytes,
        }
    }
}

/// Parses the headers of an inner IP packet.
///
/// # Errors
///
/// Returns [`ErrorKind::PacketTruncated`] if the packet is too short,
/// [`ErrorKind::PacketFragment`] for an IP fragment, and
/// [`ErrorKind::TransportUnsupported`] for other invalid headers and for
/// transports other than TCP and UDP.
pub fn parse(packet: &[u8]) -> Result<InnerPacket, ErrorKind> {
    let sliced = SlicedPacket::from_ip(packet).map_err(|err| match err {
        SliceError::Len(_) => ErrorKind::PacketTruncated,
        _ => ErrorKind::TransportUnsupported,
    })?;
    let (source_ip, destination_ip) = addresses(&sliced)?;
    let (protocol, source_port, destination_port, kind, sequence) = match &sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => (
            Protocol::Tcp,
            tcp.source_port(),
            tcp.destination_port(),
            tcp_packet_kind(tcp),
            tcp.sequence_number(),
        ),
        Some(TransportSlice::Udp(udp)) => (
            Protocol::Udp,
            udp.source_port(),
            udp.destination_port(),
            PacketKind::Datagram,
            0,
        ),
        _ => return Err(ErrorKind::TransportUnsupported),
    };
    Ok(InnerPacket {
        protocol,
        source: Endpoint {
            ip: source_ip,
            port: source_port,
        },
        destination: Endpoint {
            ip: destination_ip,
            port: destination_port,
        },
        kind,
        sequence,
        bytes: packet.len().min(usize::from(u16::MAX)) as u16,
    })
}

fn addresses(sliced: &SlicedPacket<'_>) -> Result<([u8; 16], [u8; 16]), ErrorKind> {
    match &sliced.net {
        Some(NetSlice::Ipv4(ip)) => {
            if ip.header().is_fragmenting_payload() {
                return Err(ErrorKind::PacketFragment);
            }
            let mapped = |a: std::net::Ipv4Addr| a.to_ipv6_mapped().octets();
            let header = ip.header();
            Ok((
                mapped(header.source_addr()),
                mapped(header.destination_addr()),
            ))
        }
        Some(NetSlice::Ipv6(ip)) => {
            if ip.is_payload_fragmented() {
                return Err(ErrorKind::PacketFragment);
            }
            let header = ip.header();
            Ok((header.source(), header.destination()))
        }
        _ => Err(ErrorKind::TransportUnsupported),
    }
}

fn tcp_packet_kind(tcp: &etherparse::TcpSlice<'_>) -> PacketKind {
    match (tcp.rst(), tcp.syn(), tcp.ack(), tcp.fin()) {
        (true, ..) => PacketKind::Reset,
        (_, true, false, _) => PacketKind::Opening,
        (_, true, true, _) => PacketKind::OpeningAnswer,
        (.., true) => PacketKind::Closing,
        _ if tcp.payload().is_empty() => PacketKind::Acknowledgement,
        _ => PacketKind::Data,
    }
}
