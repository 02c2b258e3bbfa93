//! Signals as inputs of the loop.

use std::thread;

use log::error;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use super::{Inbox, Input};

/// Turns SIGHUP into a reload, the first SIGTERM or SIGINT into a planned
/// stop, and the second into an end at once.
pub fn watch_signals(inbox: Inbox) {
    let Ok(mut signals) = Signals::new([SIGTERM, SIGINT, SIGHUP]) else {
        return error!("signals can't be watched");
    };
    thread::spawn(move || {
        let mut stops = 0;
        for signal in signals.forever() {
            let input = match signal {
                SIGHUP => Input::Reload,
                _ if stops == 0 => Input::Stop,
                _ => Input::Abort,
            };
            stops += u32::from(signal != SIGHUP);
            if !inbox.send(input) {
                return;
            }
        }
    });
}
