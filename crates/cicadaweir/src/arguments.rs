//! The arguments.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Drives a fleet of entry VMs by release notes.
///
/// Exit codes: 0 done, 1 wrong arguments or any other error, 2 a setting is
/// not allowed, 3 a release note is invalid, 4 it builds on an old revision,
/// 5 the platform did not answer, 6 a value in the store does not decode, 7 a
/// revision is not in force everywhere, 8 an invariant broke.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Print JSON
    pub json: bool,
    /// The key-value service
    #[bpaf(
        argument("IP:PORT"),
        env("CICADAWEIR_STORE"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 8500)))
    )]
    pub store: SocketAddr,
    /// The membership list; the key-value service's address if absent
    #[bpaf(argument("IP:PORT"), env("CICADAWEIR_LIST"), optional)]
    pub list: Option<SocketAddr>,
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Makes a release note the newest one
    #[bpaf(command)]
    Publish {
        /// Wait so many seconds until it is in force everywhere
        #[bpaf(argument("SECONDS"), optional)]
        wait: Option<u64>,
        /// The identity of a note whose publication was left unresolved
        #[bpaf(argument("ID"), optional)]
        id: Option<String>,
        /// Check the note against what is in force and stop
        check: bool,
        /// The release note file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Prints the services and targets that the release notes leave
    #[bpaf(command)]
    Show,
    /// Prints what has changed since a revision
    #[bpaf(command)]
    Diff {
        /// The revision
        #[bpaf(positional("REVISION"))]
        since: u64,
    },
    /// Prints the state of all entry VMs
    #[bpaf(command)]
    Status,
    /// Prints the targets as each entry VM sees them
    #[bpaf(command)]
    Targets,
    /// Prints the flows that each entry VM remembers, and its counts
    #[bpaf(command)]
    Flows,
    /// Asks an entry VM for a planned stop
    #[bpaf(command)]
    Drain {
        /// The entry VM's number
        #[bpaf(positional("MEMBER"))]
        member: u32,
    },
    /// Prints why each entry VM would send a flow where
    #[bpaf(command)]
    Explain {
        /// The flow, as tcp,CALLER_IP:PORT,SERVICE_IP:PORT
        #[bpaf(positional("FLOW"))]
        flow: String,
    },
    /// Prints the routes and targets in the store of a deployment whose packets
    /// name their target, and the state of entry VMs
    #[bpaf(command)]
    Steered {
        /// Only the route of this address, with the targets that could take it
        #[bpaf(argument("IP:PORT"), optional)]
        address: Option<SocketAddr>,
        /// The metrics address of an entry VM
        #[bpaf(argument("IP:PORT"), many)]
        entry: Vec<SocketAddr>,
    },
    /// Runs recorded traces through the core and compares every action
    #[bpaf(command)]
    Replay {
        /// The traces
        #[bpaf(positional("FILE"), some("no trace is named"))]
        files: Vec<String>,
    },
    /// Runs the main job on one machine, under failure
    #[bpaf(command)]
    Demo {
        /// Boards that stay open
        #[bpaf(argument("N"), fallback(700))]
        boards: u32,
        /// Boards of the surge
        #[bpaf(argument("N"), fallback(1_400))]
        surge: u32,
        /// Seconds for each step
        #[bpaf(argument("SECONDS"), fallback(4))]
        step: u64,
    },
}
