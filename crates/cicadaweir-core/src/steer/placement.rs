//! Selection of a target for a new flow.

use rand_core::RngCore;

use crate::catalog::TargetKey;

/// A target that can take a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetKey,
    /// Its score; lower is better.
    pub score: f32,
}

/// Returns the candidate with the lowest score, a random one if several tie;
/// none without candidates.
///
/// Load pattern: many entry VMs, each of which sees a part of the flows, place
/// flows at the same moment. Ties are common then, and a fixed order among them
/// would make all entry VMs choose the same target.
pub fn choose(
    candidates: impl Iterator<Item = Candidate>,
    rng: &mut impl RngCore,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let mut ties = 0;
    for candidate in candidates {
        match best {
            Some(found) if candidate.score > found.score => {}
            Some(found) if candidate.score == found.score => {
                ties += 1;
                if rng.next_u32() % ties == 0 {
                    best = Some(candidate);
                }
            }
            _ => {
                best = Some(candidate);
                ties = 1;
            }
        }
    }
    best
}
