//! Runs the soak test with consecutive seeds.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use cicadaweir_soak::{Options, config, run};

/// The number of networks that runs use in turn, because connections of the
/// previous run may still be open.
const NETWORKS: u64 = 40;

/// Injects random faults into real daemon processes and checks invariants.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The first seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// The number of seeds
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// The number of faults in each run
    #[bpaf(argument("N"), fallback(20))]
    faults: u32,
    /// The number of daemon processes
    #[bpaf(argument("N"), fallback(4))]
    daemons: u8,
    /// The number of concurrent flows
    #[bpaf(argument("N"), fallback(24))]
    flows: u16,
    /// The first value of the third byte of the loopback addresses
    #[bpaf(argument("N"), fallback(200))]
    net: u8,
    /// The daemon's executable
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("target/release/cicadaweird"))
    )]
    program: PathBuf,
    /// Print each fault when it is injected
    progress: bool,
    /// Change the configuration under faults, with nine daemons in three zones
    config: bool,
    /// The number of the only fault, with --config
    #[bpaf(argument("N"))]
    only: Option<u64>,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let mut violations = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let run = if arguments.config { config::run } else { run };
        let report = run(Options {
            seed,
            faults: arguments.faults,
            daemons: arguments.daemons,
            flows: arguments.flows,
            net: arguments.net + (seed % NETWORKS) as u8,
            program: arguments.program.clone(),
            progress: arguments.progress,
            only: arguments.only,
            ..Options::default()
        });
        println!("{report}");
        violations += report.violations.len();
    }
    println!("{} seeds, {violations} broken promises", arguments.seeds);
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
