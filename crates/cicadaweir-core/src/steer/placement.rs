//! Which target takes a new flow.

use rand_core::RngCore;

use crate::catalog::TargetKey;

/// A target that could take a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetKey,
    /// Its score; lower is better.
    pub score: f32,
}

/// Chooses the candidate with the lowest score, at random among equals.
///
/// Load pattern: many entry VMs, each of which sees a part of the flows,
/// place at the same moment. Equal scores are common then, and a fixed order
/// among them would send everyone to the same target.
pub fn choose(
    candidates: impl Iterator<Item = Candidate>,
    rng: &mut impl RngCore,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let mut equals = 0;
    for candidate in candidates {
        match best {
            Some(found) if candidate.score > found.score => {}
            Some(found) if candidate.score == found.score => {
                equals += 1;
                if rng.next_u32() % equals == 0 {
                    best = Some(candidate);
                }
            }
            _ => {
                best = Some(candidate);
                equals = 1;
            }
        }
    }
    best
}
