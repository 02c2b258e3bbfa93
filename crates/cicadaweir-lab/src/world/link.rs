//! Delay, loss and cuts between zones.

use cicadaweir_core::{catalog::ZoneId, time::Duration};
use indexmap::IndexSet;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use super::Options;

/// The links between zones.
#[derive(Debug, Clone)]
pub struct Links {
    zone_delay: Duration,
    local_delay: Duration,
    loss: f64,
    cut: IndexSet<(ZoneId, ZoneId)>,
}

impl Links {
    /// Makes links that all work.
    pub fn new(options: &Options) -> Self {
        Self {
            zone_delay: options.zone_delay,
            local_delay: options.local_delay,
            loss: options.loss,
            cut: IndexSet::new(),
        }
    }

    /// Cuts what goes from one zone to another.
    pub fn cut(&mut self, from: ZoneId, to: ZoneId) {
        self.cut.insert((from, to));
    }

    /// Mends all cuts.
    pub fn mend(&mut self) {
        self.cut.clear();
    }

    /// Returns the delay of one packet, or `None` if it is lost. The delay
    /// varies by up to half, so that packets overtake each other.
    pub fn delay(&self, from: ZoneId, to: ZoneId, random: &mut Pcg64Mcg) -> Option<Duration> {
        if from == to {
            return Some(self.local_delay);
        }
        if self.cut.contains(&(from, to)) || chance(random, self.loss) {
            return None;
        }
        let base = self.zone_delay.as_micros();
        let extra = random.next_u64() % (base / 2 + 1);
        Some(Duration::from_micros(base + extra))
    }
}

/// Returns true with a probability.
pub(super) fn chance(random: &mut Pcg64Mcg, part: f64) -> bool {
    ((random.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < part
}
