//! The options of a run.

use std::path::PathBuf;

/// The size and seed of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The seed of the random number generator that selects all faults.
    pub seed: u64,
    /// The number of faults.
    pub faults: u32,
    /// The number of daemon processes.
    pub daemons: u8,
    /// The number of targets.
    pub targets: u8,
    /// The number of concurrent flows.
    pub flows: u16,
    /// The path of the daemon's executable.
    pub program: PathBuf,
    /// The third byte of the loopback addresses; no other run may use it at the
    /// same time.
    pub net: u8,
    /// Whether each fault is printed when it is injected.
    pub progress: bool,
    /// The number of the only fault that a run of [`crate::config`] injects; all if absent.
    pub only: Option<u64>,
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
            only: None,
        }
    }
}
