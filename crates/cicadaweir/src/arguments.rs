//! Command-line arguments.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Configures and inspects a fleet of entry VMs.
///
/// Exit codes: 0 success, 1 invalid arguments or any other error, 2 invalid
/// setting, 3 invalid release note, 4 release note is based on an old revision,
/// 5 the platform did not answer, 6 a value in the store cannot be decoded, 7 a
/// revision is not in force on every entry VM that answered, or `steered` got no
/// answer from an entry VM, 8 an invariant is violated.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Print the output as JSON
    pub json: bool,
    /// The address of the key-value service
    #[bpaf(
        argument("IP:PORT"),
        env("CICADAWEIR_STORE"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 8500)))
    )]
    pub store: SocketAddr,
    /// The address of the membership list; by default that of the key-value service
    #[bpaf(argument("IP:PORT"), env("CICADAWEIR_LIST"), optional)]
    pub list: Option<SocketAddr>,
    #[bpaf(external)]
    pub command: Command,
}

/// Subcommands:
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Publishes a release note
    #[bpaf(command)]
    Publish {
        /// Wait up to SECONDS until the note is in force on all entry VMs that answer
        #[bpaf(argument("SECONDS"), optional)]
        wait: Option<u64>,
        /// The ID of a note whose publication ended in an unknown state, to retry it
        #[bpaf(argument("ID"), optional)]
        id: Option<String>,
        /// Validate the note against the newest revision without publishing it
        check: bool,
        /// The release note file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Prints the services and targets at the newest revision
    #[bpaf(command)]
    Show,
    /// Prints the changes since a revision
    #[bpaf(command)]
    Diff {
        /// The revision after which changes are printed
        #[bpaf(positional("REVISION"))]
        since: u64,
    },
    /// Prints the status of all entry VMs
    #[bpaf(command)]
    Status,
    /// Prints the targets, with the load mark that each entry VM gives them
    #[bpaf(command)]
    Targets,
    /// Prints the number of flows in the flow table of each entry VM, and its counters
    #[bpaf(command)]
    Flows,
    /// Requests a planned stop of an entry VM
    #[bpaf(command)]
    Drain {
        /// The number of the entry VM
        #[bpaf(positional("MEMBER"))]
        member: u32,
    },
    /// Prints where each entry VM would send the next packet of a flow, and why
    #[bpaf(command)]
    Explain {
        /// The flow, as tcp,CALLER_IP:PORT,SERVICE_IP:PORT or udp,...
        #[bpaf(positional("FLOW"))]
        flow: String,
    },
    /// Prints routes, targets and entry VMs of a deployment whose packets carry a cookie
    #[bpaf(command)]
    Steered {
        /// Print only the route of this address, with the targets of its services
        #[bpaf(argument("IP:PORT"), optional)]
        address: Option<SocketAddr>,
        /// The metrics address of an entry VM; can be given several times
        #[bpaf(argument("IP:PORT"), many)]
        entry: Vec<SocketAddr>,
    },
    /// Replays recorded traces and compares every action with the recorded one
    #[bpaf(command)]
    Replay {
        /// The trace files
        #[bpaf(positional("FILE"), some("expected at least one trace file"))]
        files: Vec<String>,
    },
    /// Runs a demonstration with injected failures on one machine
    #[bpaf(command)]
    Demo {
        /// The number of flows to the service board that stay open
        #[bpaf(argument("N"), fallback(700))]
        boards: u32,
        /// The number of flows to the service board that are opened in the surge
        #[bpaf(argument("N"), fallback(1_400))]
        surge: u32,
        /// The duration of each step
        #[bpaf(argument("SECONDS"), fallback(4))]
        step: u64,
    },
}
