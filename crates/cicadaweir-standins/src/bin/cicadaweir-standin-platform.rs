//! The platform's services as a program, for manual trials of daemons and the tool.

use std::{net::SocketAddr, process::ExitCode, thread, time::Duration};

use bpaf::Bpaf;
use cicadaweir_proto::list;
use cicadaweir_standins::platform::PlatformServer;

/// Serves the key-value service and a membership list until it is terminated.
/// All data is kept in memory and lost on exit.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The address to listen on
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 8500))))]
    listen: SocketAddr,
    /// The membership list, in JSON; reread every second
    #[bpaf(argument("FILE"))]
    members: String,
}

/// The interval at which the membership list is reread.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let arguments = arguments().run();
    let server = match PlatformServer::start(arguments.listen) {
        Ok(server) => server,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::FAILURE;
        }
    };
    loop {
        let bytes = std::fs::read(&arguments.members);
        let content = bytes.map_err(|err| err.to_string());
        match content.and_then(|b| list::from_json(&b).map_err(|err| err.to_string())) {
            Ok(members) => server.set_members(members),
            Err(reason) => eprintln!("{}: {reason}", arguments.members),
        }
        thread::sleep(RELOAD_INTERVAL);
    }
}
