//! Packets of flows, as PROTOCOL.md lays them out.

use std::net::Ipv4Addr;

pub const SYN: u8 = 2;
pub const ACK: u8 = 64;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;

/// The size of a header in bytes.
pub const HEADER_BYTES: usize = 32;

/// The most bytes of data in a packet.
pub const MAX_DATA_BYTES: usize = 1_200;

/// The key of the checksum, which only callers and targets know.
const SUM_KEY: u32 = 0x5bd1_e995;

/// A packet: a header and its data.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Packet {
    pub src: u32,
    pub sport: u16,
    pub dst: u32,
    pub dport: u16,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Returns the checksum over everything but `echo`.
    fn checksum(&self) -> u32 {
        let mut sum = SUM_KEY;
        let mut add = |bytes: &[u8]| {
            for &byte in bytes {
                sum = (sum ^ u32::from(byte)).wrapping_mul(16_777_619);
            }
        };
        add(&self.src.to_be_bytes());
        add(&self.dst.to_be_bytes());
        add(&self.sport.to_be_bytes());
        add(&self.dport.to_be_bytes());
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&[self.flags]);
        add(&self.data);
        sum | 1
    }

    /// Returns whether its sender wrote it so.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.checksum()
    }

    /// Encodes the packet with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend_from_slice(&self.dport.to_be_bytes());
        bytes.extend_from_slice(&self.src.to_be_bytes());
        bytes.extend_from_slice(&self.dst.to_be_bytes());
        bytes.extend_from_slice(&self.sport.to_be_bytes());
        bytes.extend_from_slice(&self.seq.to_be_bytes());
        bytes.extend_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&[self.flags, 0]);
        bytes.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&self.checksum().to_be_bytes());
        bytes.extend_from_slice(&self.echo.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a packet; `None` if it is too short or its length doesn't fit.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let data = bytes[HEADER_BYTES..].to_vec();
        (usize::from(u16_at(22)) == data.len()).then(|| Self {
            dport: u16_at(0),
            src: u32_at(2),
            dst: u32_at(6),
            sport: u16_at(10),
            seq: u32_at(12),
            ack: u32_at(16),
            flags: bytes[20],
            sum: u32_at(24),
            echo: u32_at(28),
            data,
        })
    }
}

/// Returns an address as a number.
pub fn number(ip: Ipv4Addr) -> u32 {
    u32::from(ip)
}
