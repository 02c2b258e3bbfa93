//! Routes from addresses to services.

use indexmap::IndexMap;

use crate::{flow::Endpoint, time::Duration};

/// The kind of a route's requests, which tells whether they may run more than
/// once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A short idempotent request.
    Idempotent,
    /// A request that may run at most once.
    AtMostOnce,
    /// An idempotent request with a long response.
    Download,
}

/// The priority of a route that states none. 0 is the highest priority.
pub const LOWEST_PRIORITY: u8 = u8::MAX;

/// The services behind an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The services that share its new flows, with their weights; never empty.
    pub services: Vec<(Box<str>, u32)>,
    /// The kind of its requests.
    pub kind: RequestKind,
    /// The latency objective of its requests, from the caller's first attempt.
    pub aim: Option<Duration>,
    /// The time after which its requests are given up.
    pub timeout: Option<Duration>,
    /// The priority of its requests under load; 0 is the highest.
    pub priority: u8,
}

impl Route {
    /// Creates a route without objectives, of the lowest priority.
    pub const fn new(services: Vec<(Box<str>, u32)>, kind: RequestKind) -> Self {
        Self {
            services,
            kind,
            aim: None,
            timeout: None,
            priority: LOWEST_PRIORITY,
        }
    }
}

/// All routes of one configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    /// The configuration's version; newer ones are higher.
    pub version: u64,
    /// The routes by address and port.
    pub routes: IndexMap<Endpoint, Route>,
    /// How long a flow may be idle before its state may be evicted.
    pub idle_timeout: Duration,
}
