//! Weighted rendezvous hashing with bounded shares.
//!
//! With plain rendezvous hashing over 1,024 buckets, the most loaded of 14
//! targets gets about 20 % more buckets than the mean. Each target therefore has
//! an upper bound, its exact share plus [`Options::slack_percent`], and a bucket
//! goes to the target with the highest score among those below their bound.
//! (Rendezvous hashing: Thaler and Ravishankar 1998; bounded loads: Mirrokni,
//! Thorup and Zadimoghaddam 2018.)

use crate::{catalog::TargetKey, hash};

use super::BUCKETS;

/// Options for building a generation's bucket table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The percentage by which a target may exceed its exact share of buckets.
    pub slack_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { slack_percent: 2 }
    }
}

/// A target with the number of buckets that it can still get.
struct Candidate {
    key: TargetKey,
    name_hash: u64,
    weight: f64,
    remaining: u32,
}

/// Builds a service's bucket table, which holds the target of each of the
/// [`BUCKETS`] buckets.
///
/// `targets` lists the key, name hash and weight of each target, in an order
/// that must be the same on every entry VM.
///
/// # Panics
///
/// Panics if `targets` is empty.
pub fn build(seed: u64, targets: &[(TargetKey, u64, u16)], options: Options) -> Vec<TargetKey> {
    assert!(
        !targets.is_empty(),
        "cannot build a bucket table without targets"
    );
    let total: u64 = targets.iter().map(|t| u64::from(t.2)).sum();
    let mut candidates: Vec<Candidate> = targets
        .iter()
        .map(|&(key, name_hash, weight)| Candidate {
            key,
            name_hash,
            weight: f64::from(weight),
            remaining: max_buckets(u64::from(weight), total, options.slack_percent),
        })
        .collect();
    (0..BUCKETS as u64)
        .map(|bucket| {
            let best = best_below_bound(seed, bucket, &candidates);
            candidates[best].remaining -= 1;
            candidates[best].key
        })
        .collect()
}

/// Returns the maximum number of buckets of a target with the given weight.
fn max_buckets(weight: u64, total: u64, slack_percent: u32) -> u32 {
    let share = BUCKETS as u64 * weight * u64::from(100 + slack_percent);
    share.div_ceil(total * 100) as u32
}

/// Returns the index of the candidate with the highest score for a bucket among
/// those that can still get buckets.
fn best_below_bound(seed: u64, bucket: u64, candidates: &[Candidate]) -> usize {
    let mut best = (f64::NEG_INFINITY, 0);
    for (index, c) in candidates.iter().enumerate() {
        if c.remaining == 0 {
            continue;
        }
        let score = score(seed, bucket, c);
        if score > best.0 {
            best = (score, index);
        }
    }
    best.1
}

/// Returns the score of a target for a bucket: `weight / -ln(u)` with `u`
/// uniform in (0, 1), so that the probability of the highest score is
/// proportional to the weight.
fn score(seed: u64, bucket: u64, candidate: &Candidate) -> f64 {
    let bits = hash::mix(hash::mix(seed, bucket), candidate.name_hash);
    let uniform = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    candidate.weight / -uniform.ln()
}
