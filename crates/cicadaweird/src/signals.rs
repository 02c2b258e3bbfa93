//! Signals as inputs of a loop.

use std::{io, thread};

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

/// The signals that a daemon acts on, from the moment at which this is made.
#[derive(Debug)]
pub struct Watch(Signals);

impl Watch {
    /// Begins to take signals; before this, SIGHUP ends the process.
    ///
    /// # Errors
    ///
    /// The operating system's error if the handlers can't be set.
    pub fn begin() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Self)
    }

    /// Sends an input of a loop for each signal, those taken meanwhile among
    /// them; `input` returns none for what the loop doesn't take.
    pub fn forward<T: Send + 'static>(
        mut self,
        inbox: Inbox<T>,
        input: impl Fn(Asked) -> Option<T> + Send + 'static,
    ) {
        thread::spawn(move || {
            let mut stopping = false;
            for signal in self.0.forever() {
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
}
