//! The lab's program.

mod commands;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Experiments on the decisions of cicadaweir, in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs scenarios and prints a table
    #[bpaf(command)]
    Scenarios {
        /// Only scenarios whose name contains this
        #[bpaf(argument("NAME"), fallback(String::new()))]
        only: String,
        /// Seeds for each scenario
        #[bpaf(argument("N"), fallback(2))]
        seeds: u64,
        /// Compare with the baselines
        baselines: bool,
    },
    /// Writes the table of all scenarios and the plots
    #[bpaf(command)]
    Report {
        /// Seeds for each scenario
        #[bpaf(argument("N"), fallback(4))]
        seeds: u64,
        /// The folder
        #[bpaf(argument("FOLDER"), fallback("docs/measurements".to_owned()))]
        out: String,
    },
    /// Records what one node is told and does, as a trace
    #[bpaf(command)]
    Record {
        /// The scenario
        #[bpaf(argument("NAME"))]
        scenario: String,
        /// The seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// The node
        #[bpaf(argument("N"), fallback(3))]
        node: usize,
    },
    /// Times decisions, and the daemon against a bare UDP relay
    #[bpaf(command)]
    Bench {
        /// Turns of the daemon and the relay
        #[bpaf(argument("N"), fallback(5))]
        turns: usize,
    },
    /// Runs scenarios with one guard taken away
    #[bpaf(command)]
    Guards {
        /// Only scenarios whose name contains this
        #[bpaf(argument("NAME"), fallback(String::new()))]
        only: String,
        /// Visits to each service in a second
        #[bpaf(argument("N"), fallback(40))]
        visits: u32,
    },
    /// Spreads release notes and a crash through fleets of several sizes
    #[bpaf(command)]
    Fleet,
    /// Measures one daemon's control work at several sizes
    #[bpaf(command)]
    Capacity,
    /// Tries policies for short answers beside downloads
    #[bpaf(command)]
    Pacing,
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
        /// The caller
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
        Command::Trace {
            scenario,
            deployment,
            seed,
            caller,
        } => commands::trace(&scenario, &deployment, seed, caller),
    }
}
