//! The daemon's program: arguments, settings, signals, then the loop.

use std::{
    io::{self, Write},
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;
use cicadaweird::{
    daemon, inbox, logs,
    settings::Carrier,
    signals::{self, Asked},
    steered,
};
use log::{error, info};

/// The exit code for settings that are not allowed.
const EXIT_SETTINGS: u8 = 2;

/// How long the last log lines may take to be written; far less than the
/// platform waits between its signals.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Runs one entry VM of cicadaweir.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The settings file
    #[bpaf(argument("FILE"))]
    settings: String,
    /// Check the settings and stop
    check: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let log = logs::start();
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
    log.flush(LAST_LINES);
    code
}

fn run(settings: Carrier, path: &str) -> io::Result<()> {
    let signals = signals::Watch::begin()?;
    match settings {
        Carrier::Geneve(settings) => {
            daemon::run(*settings, |inbox| signals.forward(inbox, geneve_input))
        }
        Carrier::Cookie(settings) => steered::run(*settings, path, |inbox| {
            signals.forward(inbox, steered_input);
        }),
    }
}

/// Returns the input of the Geneve loop for a signal.
fn geneve_input(asked: Asked) -> Option<inbox::Input> {
    match asked {
        Asked::Reload => {
            info!("settings are read at the start only; services change by release notes");
            None
        }
        Asked::Stop => Some(inbox::Input::Stop),
        Asked::Abort => Some(inbox::Input::Abort),
    }
}

/// Returns the input of the cookie loop for a signal.
fn steered_input(asked: Asked) -> Option<steered::Input> {
    Some(match asked {
        Asked::Reload => steered::Input::Reload,
        Asked::Stop => steered::Input::Stop,
        Asked::Abort => steered::Input::Abort,
    })
}
