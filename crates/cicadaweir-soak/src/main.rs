//! Plays runs of the soak, one seed after the other.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use cicadaweir_soak::{Options, run};

/// Networks that runs use in turn: connections of the run before may linger.
const NETS: u64 = 40;

/// Random faults on real daemon processes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The first seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// How many seeds
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Faults of each run
    #[bpaf(argument("N"), fallback(20))]
    faults: u32,
    /// Daemon processes
    #[bpaf(argument("N"), fallback(4))]
    daemons: u8,
    /// Flows that are open at the same time
    #[bpaf(argument("N"), fallback(24))]
    flows: u16,
    /// The third number of the loopback addresses
    #[bpaf(argument("N"), fallback(200))]
    net: u8,
    /// The daemon's program
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("target/release/cicadaweird"))
    )]
    program: PathBuf,
    /// Print each fault
    progress: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let report = run(Options {
            seed,
            faults: arguments.faults,
            daemons: arguments.daemons,
            flows: arguments.flows,
            net: arguments.net + (seed % NETS) as u8,
            program: arguments.program.clone(),
            progress: arguments.progress,
            ..Options::default()
        });
        println!("{report}");
        broken += report.broken.len();
    }
    println!("{} seeds, {broken} broken promises", arguments.seeds);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
