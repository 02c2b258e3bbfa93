//! Signals as inputs of a loop.

use std::thread;

use log::error;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::inbox::Inbox;

/// What signals ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// SIGHUP: settings have changed.
    Reload,
    /// The first SIGTERM or SIGINT: a planned stop.
    Stop,
    /// A further one: an end at once.
    Abort,
}

/// Sends an input of a loop for each signal; `input` returns none for what
/// the loop doesn't take.
pub fn watch<T: Send + 'static>(
    inbox: Inbox<T>,
    input: impl Fn(Asked) -> Option<T> + Send + 'static,
) {
    let Ok(mut signals) = Signals::new([SIGTERM, SIGINT, SIGHUP]) else {
        return error!("signals can't be watched");
    };
    thread::spawn(move || {
        let mut stopping = false;
        for signal in signals.forever() {
            let asked = match signal {
                SIGHUP => Asked::Reload,
                _ if stopping => Asked::Abort,
                _ => Asked::Stop,
            };
            stopping |= asked == Asked::Stop;
            if !input(asked).is_none_or(|input| inbox.send(input)) {
                return;
            }
        }
    });
}
