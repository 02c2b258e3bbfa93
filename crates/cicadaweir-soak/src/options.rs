//! One run.

use std::path::PathBuf;

/// What a run is made of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Draws all faults.
    pub seed: u64,
    /// How many faults come.
    pub faults: u32,
    /// Daemon processes.
    pub daemons: u8,
    /// Targets.
    pub targets: u8,
    /// Flows that are open at the same time.
    pub flows: u16,
    /// The daemon's program.
    pub program: PathBuf,
    /// The network that the run has to itself: the third number of its
    /// loopback addresses.
    pub net: u8,
    /// Whether each fault is printed as it comes.
    pub progress: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: 20,
            daemons: 4,
            targets: 5,
            flows: 24,
            program: PathBuf::from("target/release/cicadaweird"),
            net: 200,
            progress: false,
        }
    }
}
