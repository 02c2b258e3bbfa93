//! Signals as inputs of an event loop.

use std::{io, thread};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::inbox::Inbox;

/// The action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGHUP: reload the settings.
    Reload,
    /// The first SIGTERM or SIGINT: start a planned stop.
    Stop,
    /// A further SIGTERM or SIGINT: end at once.
    Abort,
}

/// Receives the signals that the daemon handles.
#[derive(Debug)]
pub struct SignalListener(Signals);

impl SignalListener {
    /// Installs the signal handlers. Until then, SIGHUP terminates the process.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a handler can't be installed.
    pub fn register() -> io::Result<Self> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Self)
    }

    /// Sends an event loop's input for each signal, including those received
    /// since [`SignalListener::register`]. `input` returns `None` for requests
    /// that the event loop ignores.
    pub fn forward<T: Send + 'static>(
        mut self,
        inbox: Inbox<T>,
        input: impl Fn(SignalRequest) -> Option<T> + Send + 'static,
    ) {
        thread::spawn(move || {
            let mut stopping = false;
            for signal in self.0.forever() {
                let request = match signal {
                    SIGHUP => SignalRequest::Reload,
                    _ if stopping => SignalRequest::Abort,
                    _ => SignalRequest::Stop,
                };
                stopping |= request == SignalRequest::Stop;
                if !input(request).is_none_or(|input| inbox.send(input)) {
                    return;
                }
            }
        });
    }
}
