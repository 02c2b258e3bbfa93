//! The daemon's program: arguments, settings, signals, then the loop.

use std::{io::Write, process::ExitCode, thread};

use bpaf::Bpaf;
use cicadaweird::{
    daemon,
    inbox::{Inbox, Input},
    logs,
    settings::Carrier,
    steered,
};
use log::{error, info};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// The exit code for settings that are not allowed.
const EXIT_SETTINGS: u8 = 2;

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
    logs::start();
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
    let ended = match settings {
        Carrier::Geneve(settings) => daemon::run(*settings, watch_signals),
        Carrier::Cookie(settings) => {
            steered::run(*settings, &arguments.settings, steered::watch_signals)
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            error!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Turns the first SIGTERM or SIGINT into a planned stop, and the second
/// into an end at once.
fn watch_signals(inbox: Inbox) {
    let Ok(mut signals) = Signals::new([SIGTERM, SIGINT, SIGHUP]) else {
        return error!("signals can't be watched");
    };
    thread::spawn(move || {
        let mut stops = 0;
        for signal in signals.forever() {
            if signal == SIGHUP {
                info!("settings are read at the start only; services change by release notes");
                continue;
            }
            stops += 1;
            let input = if stops == 1 {
                Input::Stop
            } else {
                Input::Abort
            };
            if !inbox.send(input) {
                return;
            }
        }
    });
}
