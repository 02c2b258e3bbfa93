//! Inputs that helper threads send to an event loop.

use std::net::IpAddr;
use std::sync::{
    Arc,
    mpsc::{Receiver, Sender, channel},
};

use cicadaweir_core::{
    catalog::{Part, ReleaseNote, TargetKey},
    load::ProbeResult,
    membership::ListEntry,
};
use stakker_mio::mio;

use crate::control::{Query, Reply};

/// One input of the Geneve event loop.
#[derive(Debug)]
pub enum Input {
    /// The platform's membership list was read.
    List(Vec<ListEntry>),
    /// A release note was read.
    Note(Arc<ReleaseNote>),
    /// All parts of a catalog snapshot were read.
    Snapshot(Vec<Part>),
    /// A target probe completed.
    Probed(TargetKey, ProbeResult),
    /// A query from the control endpoint, with the channel for the reply.
    Query(Query, Sender<Reply>),
    /// Drops datagrams to and from these addresses from now on, to simulate a
    /// network partition between zones; for tests and the demo.
    Block(Vec<IpAddr>),
    /// Starts a planned stop.
    Stop,
    /// Ends the event loop at once, without a planned stop: for a repeated
    /// termination signal, and to simulate a crash in tests and the demo.
    Abort,
}

/// The sending end of an event loop's inputs; wakes the loop on every send.
#[derive(Debug)]
pub struct Inbox<T = Input> {
    tx: Sender<T>,
    waker: Arc<mio::Waker>,
}

impl<T> Clone for Inbox<T> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            waker: Arc::clone(&self.waker),
        }
    }
}

impl<T> Inbox<T> {
    /// Creates an inbox and the receiver for its event loop, which `waker`
    /// wakes.
    pub fn new(waker: Arc<mio::Waker>) -> (Self, Receiver<T>) {
        let (tx, rx) = channel();
        (Self { tx, waker }, rx)
    }

    /// Sends an input; returns whether the event loop is still running.
    pub fn send(&self, input: T) -> bool {
        self.tx.send(input).is_ok() && self.waker.wake().is_ok()
    }
}
