//! Counters of the daemon, and rate-limited error logs.

use std::time::{Duration, Instant};

use cicadaweir_core::{error::ErrorKind, node::Counters, route::Reason};
use indexmap::IndexMap;
use log::warn;

/// The shortest time between two log lines for one kind of error.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counters that the daemon keeps in addition to the core's.
#[derive(Debug, Default)]
pub struct DaemonCounters {
    /// Errors detected outside the core, by kind.
    pub errors: IndexMap<ErrorKind, u64>,
    /// Bytes of messages sent to other entry VMs, by kind of message.
    pub control_bytes: IndexMap<&'static str, u64>,
    /// Bytes of packets relayed to other entry VMs.
    pub relayed_bytes: u64,
    last_logged: IndexMap<ErrorKind, Instant>,
}

impl DaemonCounters {
    /// Counts an error, and logs it unless one of its kind was logged within
    /// [`LOG_INTERVAL`].
    pub fn record_error(&mut self, kind: ErrorKind, detail: impl std::fmt::Display) {
        *self.errors.entry(kind).or_default() += 1;
        self.log_error(kind, detail);
    }

    /// Logs an error unless one of its kind was logged within [`LOG_INTERVAL`].
    /// Does not count it: used for errors that the core has counted.
    pub fn log_error(&mut self, kind: ErrorKind, detail: impl std::fmt::Display) {
        let now = Instant::now();
        let is_recent = |&at: &Instant| now.duration_since(at) < LOG_INTERVAL;
        if self.last_logged.get(&kind).is_some_and(is_recent) {
            return;
        }
        self.last_logged.insert(kind, now);
        warn!(kind = kind.name(); "{detail}");
    }

    /// Returns all counters by name, the core's included.
    pub fn all(&self, core: &Counters) -> IndexMap<String, u64> {
        let mut all = IndexMap::new();
        for reason in Reason::ALL {
            let count = core.forwarded[reason as usize];
            all.insert(format!("forwarded.{}", reason.name()), count);
        }
        for (kind, &count) in core.errors.iter().chain(&self.errors) {
            *all.entry(format!("errors.{}", kind.name())).or_default() += count;
        }
        for (kind, &count) in &core.messages {
            all.insert(format!("messages.{}", kind.name()), count);
        }
        for (kind, &bytes) in &self.control_bytes {
            all.insert(format!("control_bytes.{kind}"), bytes);
        }
        all.insert("relayed".to_owned(), core.relayed);
        all.insert("relayed_bytes".to_owned(), self.relayed_bytes);
        all.insert("to_callers".to_owned(), core.to_callers);
        all.insert("recalled".to_owned(), core.recalled);
        all.insert("resets".to_owned(), core.resets);
        all
    }
}
