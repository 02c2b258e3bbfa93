//! The two simulated deployments.

use cicadaweir_core::time::Duration;

use crate::world::Options;

/// A deployment, with its present number of entry VMs and zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Deployment {
    /// Cooperativa Compás Andino: three zones, 5 ms apart.
    CompasAndino,
    /// Mazao Maonyesho: four zones, 4 ms apart.
    Mazao,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::CompasAndino, Self::Mazao];

    /// Returns the name used on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::CompasAndino => "compas-andino",
            Self::Mazao => "mazao",
        }
    }

    /// Returns the options of the deployment's world.
    pub fn options(self, seed: u64) -> Options {
        match self {
            Self::CompasAndino => Options {
                seed,
                entry_vms: 9,
                zones: 3,
                zone_delay: Duration::from_millis(5),
                caller_delay: Duration::from_millis(1),
                ..Options::default()
            },
            Self::Mazao => Options {
                seed,
                entry_vms: 8,
                zones: 4,
                zone_delay: Duration::from_millis(4),
                caller_delay: Duration::from_millis(3),
                ..Options::default()
            },
        }
    }
}
