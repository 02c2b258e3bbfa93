//! Weighted rendezvous hashing with bounded shares.
//!
//! Plain rendezvous hashing over 1,024 buckets leaves the fullest of 14
//! targets about a fifth above the mean. Each target therefore has a bound,
//! its exact share plus [`Options::slack_percent`], and a bucket goes to its
//! best-scored target that has room left. (Rendezvous hashing: Thaler and
//! Ravishankar 1998; bounded loads: Mirrokni, Thorup and Zadimoghaddam 2018.)

use crate::{catalog::TargetKey, hash};

use super::BUCKETS;

/// How a generation's table is built.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How far a target may lie above its exact share of buckets, in percent.
    pub slack_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { slack_percent: 2 }
    }
}

/// One candidate target.
struct Candidate {
    key: TargetKey,
    name_hash: u64,
    weight: f64,
    room: u32,
}

/// Builds the table of one service.
///
/// `targets` gives key, hash of the name and weight of each target, in an
/// order that is the same on every entry VM.
///
/// # Panics
///
/// If `targets` is empty.
pub fn build(seed: u64, targets: &[(TargetKey, u64, u16)], options: Options) -> Vec<TargetKey> {
    assert!(!targets.is_empty(), "a generation needs a target");
    let total: u64 = targets.iter().map(|t| u64::from(t.2)).sum();
    let mut candidates: Vec<Candidate> = targets
        .iter()
        .map(|&(key, name_hash, weight)| Candidate {
            key,
            name_hash,
            weight: f64::from(weight),
            room: room(u64::from(weight), total, options.slack_percent),
        })
        .collect();
    (0..BUCKETS as u64)
        .map(|bucket| {
            let best = best_with_room(seed, bucket, &candidates);
            candidates[best].room -= 1;
            candidates[best].key
        })
        .collect()
}

/// Returns the most buckets that a target of this weight takes.
fn room(weight: u64, total: u64, slack_percent: u32) -> u32 {
    let share = BUCKETS as u64 * weight * u64::from(100 + slack_percent);
    share.div_ceil(total * 100) as u32
}

fn best_with_room(seed: u64, bucket: u64, candidates: &[Candidate]) -> usize {
    let mut best = (f64::NEG_INFINITY, 0);
    for (at, c) in candidates.iter().enumerate() {
        if c.room == 0 {
            continue;
        }
        let score = score(seed, bucket, c);
        if score > best.0 {
            best = (score, at);
        }
    }
    best.1
}

/// Scores a target for a bucket so that its chance to win is its weight's
/// share: `weight / -ln(u)` with `u` uniform in (0, 1).
fn score(seed: u64, bucket: u64, candidate: &Candidate) -> f64 {
    let bits = hash::mix(hash::mix(seed, bucket), candidate.name_hash);
    let uniform = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    candidate.weight / -uniform.ln()
}
