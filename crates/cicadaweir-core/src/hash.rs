//! Keyed and unkeyed hashing.
//!
//! Callers choose their addresses and ports and could provoke collisions, so
//! flows are hashed with SipHash-1-3 under the fleet's secret key. Names of
//! targets and members are chosen by operators and are hashed without a key.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::flow::FlowKey;

/// The secret key for hashing flows; the same on every entry VM of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HashKey(pub [u8; 16]);

/// Returns the keyed hash of a flow.
pub fn flow(key: &HashKey, flow: &FlowKey) -> u64 {
    let mut buf = [0u8; 37];
    buf[..16].copy_from_slice(&flow.caller.ip);
    buf[16..32].copy_from_slice(&flow.address.ip);
    buf[32..34].copy_from_slice(&flow.caller.port.to_le_bytes());
    buf[34..36].copy_from_slice(&flow.address.port.to_le_bytes());
    buf[36] = flow.protocol as u8;
    let mut hasher = SipHasher13::new_with_key(&key.0);
    hasher.write(&buf);
    hasher.finish()
}

/// Returns the unkeyed hash of a name chosen by an operator.
pub fn name(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Combines two words into a hash: the finalizer of SplitMix64, applied to `a`
/// plus `b` times the increment of SplitMix64.
pub const fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
