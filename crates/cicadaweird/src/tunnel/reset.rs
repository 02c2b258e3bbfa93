//! TCP resets towards callers.

use etherparse::{NetSlice, PacketBuilder, SlicedPacket, TransportSlice};

/// The hop limit (TTL) of generated packets.
const HOP_LIMIT: u8 = 64;

/// Appends the reset that answers a caller's TCP packet (RFC 9293, section
/// 3.10.7.1) to `buf`, as an IP packet without tunnel header. Returns whether a
/// reset was written: `false` if `packet` is not a valid TCP packet.
pub fn reset_towards_caller(packet: &[u8], buf: &mut Vec<u8>) -> bool {
    let Ok(sliced) = SlicedPacket::from_ip(packet) else {
        return false;
    };
    let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
        return false;
    };
    let ip = match &sliced.net {
        Some(NetSlice::Ipv4(ip)) => {
            PacketBuilder::ipv4(ip.header().destination(), ip.header().source(), HOP_LIMIT)
        }
        Some(NetSlice::Ipv6(ip)) => {
            PacketBuilder::ipv6(ip.header().destination(), ip.header().source(), HOP_LIMIT)
        }
        _ => return false,
    };
    let segment_len = tcp.payload().len() as u32 + u32::from(tcp.syn()) + u32::from(tcp.fin());
    let acknowledged = tcp.sequence_number().wrapping_add(segment_len);
    let (source, destination) = (tcp.destination_port(), tcp.source_port());
    let reset = if tcp.ack() {
        ip.tcp(source, destination, tcp.acknowledgment_number(), 0)
            .rst()
    } else {
        ip.tcp(source, destination, 0, 0).rst().ack(acknowledged)
    };
    reset.write(buf, &[]).is_ok()
}
