//! Running daemons on threads of one process, for tests and the demo.

use std::{
    io,
    net::IpAddr,
    sync::mpsc::channel,
    thread::{self, JoinHandle},
};

use crate::{
    inbox::{Inbox, Input},
    settings::Settings,
};

/// A daemon that runs on a thread of its own.
#[derive(Debug)]
pub struct Handle {
    inbox: Inbox,
    thread: Option<JoinHandle<io::Result<()>>>,
}

/// Starts a daemon and waits until its sockets are bound.
///
/// # Errors
///
/// The error that kept it from starting.
pub fn spawn(settings: Settings) -> io::Result<Handle> {
    let (tx, rx) = channel();
    let name = format!("entry-vm-{}", settings.member.id);
    let thread = thread::Builder::new()
        .name(name)
        .spawn(move || super::run(settings, |inbox| drop(tx.send(inbox))))?;
    match rx.recv() {
        Ok(inbox) => Ok(Handle {
            inbox,
            thread: Some(thread),
        }),
        Err(_) => match thread.join() {
            Ok(Err(err)) => Err(err),
            _ => Err(io::Error::other("the daemon ended at once")),
        },
    }
}

impl Handle {
    /// Asks for a planned stop.
    pub fn stop(&self) {
        self.inbox.send(Input::Stop);
    }

    /// Loses datagrams to and from some addresses, until it is called again.
    pub fn block(&self, addresses: Vec<IpAddr>) {
        self.inbox.send(Input::Block(addresses));
    }

    /// Ends the daemon at once and waits for it, as a crash would.
    pub fn abort(&mut self) {
        self.inbox.send(Input::Abort);
        self.wait();
    }

    /// Waits for the daemon's end.
    pub fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Returns whether the daemon still runs.
    pub fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|t| !t.is_finished())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.abort();
    }
}
