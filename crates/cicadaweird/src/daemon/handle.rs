//! Daemons that run on threads of one process, for tests and the demo.

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

/// A daemon that runs on its own thread; dropping the handle aborts it.
#[derive(Debug)]
pub struct Handle {
    inbox: Inbox,
    thread: Option<JoinHandle<io::Result<()>>>,
}

/// Starts a daemon and waits until its sockets are bound.
///
/// # Errors
///
/// Returns the error that prevented the daemon from starting.
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
            _ => Err(io::Error::other(
                "the daemon thread ended before its sockets were bound",
            )),
        },
    }
}

impl Handle {
    /// Starts a planned stop; does not wait for it.
    pub fn stop(&self) {
        self.inbox.send(Input::Stop);
    }

    /// Drops datagrams to and from these addresses from now on. A further call
    /// replaces the addresses.
    pub fn block(&self, addresses: Vec<IpAddr>) {
        self.inbox.send(Input::Block(addresses));
    }

    /// Ends the daemon at once, without a planned stop, and waits until its
    /// thread has ended.
    pub fn abort(&mut self) {
        self.inbox.send(Input::Abort);
        self.wait();
    }

    /// Waits until the daemon's thread has ended.
    pub fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Returns whether the daemon is still running.
    pub fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|t| !t.is_finished())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.abort();
    }
}
