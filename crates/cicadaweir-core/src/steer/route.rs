//! Which service an address belongs to.

use indexmap::IndexMap;

use crate::{flow::Endpoint, time::Duration};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A short idempotent request.
    Idempotent,
    /// A request that may run at most once.
    AtMostOnce,
    /// An idempotent request with a long answer.
    Download,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The services that take its new flows, with their weights; never empty.
    pub services: Vec<(Box<str>, u32)>,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
}

/// All routes of one configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    /// The configuration's version; a later one has a higher number.
    pub version: u64,
    /// The routes by address and port.
    pub routes: IndexMap<Endpoint, Route>,
    /// How long a flow may be idle before it may be forgotten.
    pub idle_timeout: Duration,
}
