//! The header of a packet that an entry VM relays to another.
//!
//! | offset | bytes | field |
//! |---|---|---|
//! | 0 | 2 | magic `c1 ca` |
//! | 2 | 1 | version |
//! | 3 | 1 | hops |
//! | 4 | 4 | sender |
//! | 8 | 8 | digest of the sender's membership view |
//! | 16 | 8 | newest revision known to the sender |
//! | 24 | 8 | trace ID, 0 if the packet is not traced |
//!
//! All numbers are in network byte order. The inner IP packet follows the header.

use cicadaweir_core::{
    catalog::Revision, error::ErrorKind, membership::MemberId, route::RelayHeader,
};

/// The length of the header in bytes.
pub const HEADER_BYTES: usize = 32;

/// The first bytes of a relayed packet.
pub const MAGIC: [u8; 2] = [0xc1, 0xca];

/// The version of the relay header that this build supports.
pub const VERSION: u8 = 1;

/// Encodes a header with the trace ID of its packet.
pub fn encode(header: &RelayHeader, trace_id: u64) -> [u8; HEADER_BYTES] {
    let mut buf = [0; HEADER_BYTES];
    buf[..2].copy_from_slice(&MAGIC);
    buf[2] = VERSION;
    buf[3] = header.hops;
    buf[4..8].copy_from_slice(&header.from.0.to_be_bytes());
    buf[8..16].copy_from_slice(&header.view.to_be_bytes());
    buf[16..24].copy_from_slice(&header.known.0.to_be_bytes());
    buf[24..].copy_from_slice(&trace_id.to_be_bytes());
    buf
}

/// Decodes a header; returns it with the trace ID and the inner packet.
///
/// # Errors
///
/// [`ErrorKind::PeerMalformed`] if the header is truncated or has another magic
/// number, or if no inner packet follows; [`ErrorKind::PeerVersion`] if the
/// header has an unsupported version.
pub fn decode(bytes: &[u8]) -> Result<(RelayHeader, u64, &[u8]), ErrorKind> {
    let (header, inner) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(ErrorKind::PeerMalformed)?;
    if header[..2] != MAGIC || inner.is_empty() {
        return Err(ErrorKind::PeerMalformed);
    }
    if header[2] != VERSION {
        return Err(ErrorKind::PeerVersion);
    }
    let relay = RelayHeader {
        from: MemberId(number(&header[4..8]) as u32),
        view: number(&header[8..16]),
        known: Revision(number(&header[16..24])),
        hops: header[3],
    };
    Ok((relay, number(&header[24..]), inner))
}

/// Returns a big-endian number of up to 8 bytes.
fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |acc, &b| acc << 8 | u64::from(b))
}
