//! The daemon's program: parses arguments and settings, installs signal
//! handlers and runs the event loop.

use std::{
    io::{self, Write},
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;
use cicadaweird::{
    daemon, inbox, logs,
    settings::Carrier,
    signals::{self, SignalRequest},
    steered, threads,
};
use log::{error, info};

/// The exit code for a settings file that is unreadable or invalid.
const EXIT_SETTINGS: u8 = 2;

/// The longest wait at exit for buffered log lines to be written; much shorter
/// than the interval between the platform's termination signals.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Run the daemon of one cicadaweir entry VM
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Path of the settings file
    #[bpaf(argument("FILE"))]
    settings: String,
    /// Check the settings file and exit
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let log = logs::start();
    threads::log_panics();
    let settings = match Carrier::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(err) => {
            let _ = writeln!(std::io::stderr(), "{}: {err}", arguments.settings);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        let _ = writeln!(
            std::io::stdout(),
            "{}: the settings are valid",
            arguments.settings
        );
        return ExitCode::SUCCESS;
    }
    let code = match run(settings, &arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            error!("{err}");
            ExitCode::FAILURE
        }
    };
    log.flush(LOG_FLUSH_TIMEOUT);
    code
}

fn run(settings: Carrier, path: &str) -> io::Result<()> {
    let signals = signals::SignalListener::register()?;
    match settings {
        Carrier::Geneve(settings) => {
            daemon::run(*settings, |inbox| signals.forward(inbox, geneve_input))
        }
        Carrier::Cookie(settings) => steered::run(*settings, path, |inbox| {
            signals.forward(inbox, steered_input);
        }),
    }
}

/// Maps a signal to an input of the Geneve event loop; SIGHUP has none.
fn geneve_input(request: SignalRequest) -> Option<inbox::Input> {
    match request {
        SignalRequest::Reload => {
            info!(
                "SIGHUP ignored: settings are read only at startup, services change through release notes"
            );
            None
        }
        SignalRequest::Stop => Some(inbox::Input::Stop),
        SignalRequest::Abort => Some(inbox::Input::Abort),
    }
}

/// Maps a signal to an input of the cookie event loop.
fn steered_input(request: SignalRequest) -> Option<steered::Input> {
    Some(match request {
        SignalRequest::Reload => steered::Input::Reload,
        SignalRequest::Stop => steered::Input::Stop,
        SignalRequest::Abort => steered::Input::Abort,
    })
}
