//! Encoding and decoding of Geneve headers.

use cicadaweir_core::error::ErrorKind;

/// The length of a header without options, in bytes.
pub const HEADER_BYTES: usize = 8;

const ETHERTYPE_IPV4: u16 = 0x0800;
const ETHERTYPE_IPV6: u16 = 0x86dd;

/// Returns the inner IP packet of a Geneve datagram.
///
/// # Errors
///
/// Returns [`ErrorKind::PacketTruncated`] if the datagram is shorter than its
/// header, and [`ErrorKind::TunnelVersion`] if the Geneve version is not 0 or the
/// inner protocol is neither IPv4 nor IPv6.
pub fn decapsulate(datagram: &[u8]) -> Result<&[u8], ErrorKind> {
    let (header, rest) = datagram
        .split_at_checked(HEADER_BYTES)
        .ok_or(ErrorKind::PacketTruncated)?;
    let protocol = u16::from_be_bytes([header[2], header[3]]);
    let known = matches!(protocol, ETHERTYPE_IPV4 | ETHERTYPE_IPV6);
    if header[0] >> 6 != 0 || !known {
        return Err(ErrorKind::TunnelVersion);
    }
    let options = usize::from(header[0] & 0x3f) * 4;
    rest.get(options..).ok_or(ErrorKind::PacketTruncated)
}

/// Replaces the contents of `buf` by a Geneve header without options and the
/// inner packet.
pub fn encapsulate(inner: &[u8], buf: &mut Vec<u8>) {
    let is_v6 = inner.first().is_some_and(|b| b >> 4 == 6);
    let protocol = if is_v6 {
        ETHERTYPE_IPV6
    } else {
        ETHERTYPE_IPV4
    };
    buf.clear();
    buf.extend_from_slice(&[0, 0]);
    buf.extend_from_slice(&protocol.to_be_bytes());
    buf.extend_from_slice(&[0, 0, 0, 0]);
    buf.extend_from_slice(inner);
}
