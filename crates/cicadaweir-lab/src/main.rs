//! Command-line interface of the simulations and benchmarks.

mod commands;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Simulations and benchmarks of cicadaweir's decision core
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs scenarios and prints a table of their measures
    #[bpaf(command)]
    Scenarios {
        /// Only scenarios whose name contains this text
        #[bpaf(argument("NAME"), fallback(String::new()))]
        only: String,
        /// Number of seeds for each scenario
        #[bpaf(argument("N"), fallback(2))]
        seeds: u64,
        /// Also run the baseline placement policies
        baselines: bool,
    },
    /// Writes the table of all scenarios and the plots
    #[bpaf(command)]
    Report {
        /// Number of seeds for each scenario
        #[bpaf(argument("N"), fallback(4))]
        seeds: u64,
        /// The output folder
        #[bpaf(argument("FOLDER"), fallback("docs/measurements".to_owned()))]
        out: String,
    },
    /// Records one node's events and actions as a trace
    #[bpaf(command)]
    Record {
        /// The scenario
        #[bpaf(argument("NAME"))]
        scenario: String,
        /// The seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// The node's index
        #[bpaf(argument("N"), fallback(3))]
        node: usize,
    },
    /// Measures decisions, and the daemon's throughput against a bare UDP relay
    #[bpaf(command)]
    Bench {
        /// Rounds of the daemon and of the relay
        #[bpaf(argument("N"), fallback(5))]
        turns: usize,
    },
    /// Runs scenarios with each guard disabled in turn
    #[bpaf(command)]
    Guards {
        /// Only scenarios whose name contains this text
        #[bpaf(argument("NAME"), fallback(String::new()))]
        only: String,
        /// Visits to each service per second
        #[bpaf(argument("N"), fallback(40))]
        visits: u32,
    },
    /// Measures how fast release notes and crashes propagate, by fleet size
    #[bpaf(command)]
    Fleet,
    /// Measures one daemon's control work at several sizes
    #[bpaf(command)]
    Capacity,
    /// Compares egress scheduling policies for short answers next to downloads
    #[bpaf(command)]
    Pacing,
    /// Measures goodput against offered load behind entry VMs that steer by cookie
    #[bpaf(command)]
    Overload {
        /// Number of seeds for each point
        #[bpaf(argument("N"), fallback(3))]
        seeds: u64,
        /// The folder of the plot
        #[bpaf(argument("FOLDER"), fallback("docs/measurements".to_owned()))]
        out: String,
    },
    /// Prints the packets of one caller, by default the first whose flow breaks
    #[bpaf(command)]
    Trace {
        /// The scenario
        #[bpaf(argument("NAME"))]
        scenario: String,
        /// The deployment
        #[bpaf(argument("NAME"), fallback("compas-andino".to_owned()))]
        deployment: String,
        /// The seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// The caller's index
        #[bpaf(argument("N"), optional)]
        caller: Option<u32>,
    },
}

fn main() -> ExitCode {
    match command().run() {
        Command::Scenarios {
            only,
            seeds,
            baselines,
        } => commands::scenarios(&only, seeds, baselines),
        Command::Report { seeds, out } => commands::write_report(seeds, &out),
        Command::Record {
            scenario,
            seed,
            node,
        } => commands::record(&scenario, seed, node),
        Command::Bench { turns } => commands::bench(turns),
        Command::Guards { only, visits } => commands::guards(&only, visits),
        Command::Fleet => commands::fleet_sizes(),
        Command::Capacity => commands::capacity(),
        Command::Pacing => commands::pacing(),
        Command::Overload { seeds, out } => commands::overload(seeds, &out),
        Command::Trace {
            scenario,
            deployment,
            seed,
            caller,
        } => commands::trace(&scenario, &deployment, seed, caller),
    }
}
