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
#[derive(Debug, Clone)]
pub struct Inbox {
    tx: Sender<Input>,
    waker: Arc<mio::Waker>,
}

impl Inbox {
    /// Makes an inbox that wakes a loop.
    pub fn new(waker: Arc<mio::Waker>) -> (Self, Receiver<Input>) {
        let (tx, rx) = channel();
        (Self { tx, waker }, rx)
    }

    /// Sends an input; returns whether the loop still runs.
    pub fn send(&self, input: Input) -> bool {
        self.tx.send(input).is_ok() && self.waker.wake().is_ok()
    }
}
