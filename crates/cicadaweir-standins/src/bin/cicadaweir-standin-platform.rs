//! The platform's services as a program, to try daemons and the tool by hand.

use std::{net::SocketAddr, process::ExitCode, thread, time::Duration};

use bpaf::Bpaf;
use cicadaweir_proto::list;
use cicadaweir_standins::platform::PlatformServer;

/// Serves the key-value service and a membership list until it is ended.
/// Everything is forgotten at the end.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Where to listen
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 8500))))]
    listen: SocketAddr,
    /// The membership list, in JSON; read again every second
    #[bpaf(argument("FILE"))]
    members: String,
}

/// The time between two reads of the membership list.
const PAUSE: Duration = Duration::from_secs(1);

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
        let read = bytes.map_err(|err| err.to_string());
        match read.and_then(|b| list::from_json(&b).map_err(|err| err.to_string())) {
            Ok(members) => server.set_members(members),
            Err(why) => eprintln!("{}: {why}", arguments.members),
        }
        thread::sleep(PAUSE);
    }
}
