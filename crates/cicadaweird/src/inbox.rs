//! What helper threads say to the loop.

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

/// One input of the loop.
#[derive(Debug)]
pub enum Input {
    /// The platform's list was read.
    List(Vec<ListEntry>),
    /// A release note was read.
    Note(Arc<ReleaseNote>),
    /// A snapshot of the catalog was read.
    Snapshot(Vec<Part>),
    /// A probe ended.
    Probed(TargetKey, ProbeResult),
    /// The tool asks something.
    Query(Query, Sender<Reply>),
    /// Datagrams to and from these addresses are lost from now on, as in a
    /// cut between zones; for tests and the demo.
    Block(Vec<IpAddr>),
    /// The process is to stop.
    Stop,
    /// The process is to end at once, as by a crash; for the demo.
    Abort,
}

/// The sending end; wakes the loop.
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
    /// Makes an inbox that wakes a loop.
    pub fn new(waker: Arc<mio::Waker>) -> (Self, Receiver<T>) {
        let (tx, rx) = channel();
        (Self { tx, waker }, rx)
    }

    /// Sends an input; returns whether the loop still runs.
    pub fn send(&self, input: T) -> bool {
        self.tx.send(input).is_ok() && self.waker.wake().is_ok()
    }
}
