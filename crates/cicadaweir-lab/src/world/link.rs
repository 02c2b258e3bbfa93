//! Delay, loss and partitions between zones.

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
    /// Creates links without partitions.
    pub fn new(options: &Options) -> Self {
        Self {
            zone_delay: options.zone_delay,
            local_delay: options.local_delay,
            loss: options.loss,
            cut: IndexSet::new(),
        }
    }

    /// Drops all traffic from one zone to another.
    pub fn cut(&mut self, from: ZoneId, to: ZoneId) {
        self.cut.insert((from, to));
    }

    /// Ends all partitions.
    pub fn restore(&mut self) {
        self.cut.clear();
    }

    /// Returns the delay of one packet, or `None` if it is lost. Between zones
    /// the delay exceeds the base by up to half, so that packets are reordered.
    pub fn delay(&self, from: ZoneId, to: ZoneId, random: &mut Pcg64Mcg) -> Option<Duration> {
        if from == to {
            return Some(self.local_delay);
        }
        if self.cut.contains(&(from, to)) || random_bool(random, self.loss) {
            return None;
        }
        let base = self.zone_delay.as_micros();
        let extra = random.next_u64() % (base / 2 + 1);
        Some(Duration::from_micros(base + extra))
    }
}

/// Returns true with the given probability.
pub(super) fn random_bool(random: &mut Pcg64Mcg, probability: f64) -> bool {
    ((random.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < probability
}
