//! Decoding of store keys into changes of routes and targets.

use std::panic::{AssertUnwindSafe, catch_unwind};

use cicadaweir_core::steer::Change;
use cicadaweir_platform::records::{self, ROUTES_KEY, TARGETS_PREFIX};
use log::warn;

/// What was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionKind {
    /// An item of the store's response.
    Item,
    /// The entry of a target.
    Target,
    /// A route of a configuration.
    Route,
    /// A whole configuration.
    Configuration,
}

impl RejectionKind {
    /// Returns the name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Item => "item",
            Self::Target => "target",
            Self::Route => "route",
            Self::Configuration => "configuration",
        }
    }
}

/// A value of the store that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// What was rejected.
    pub kind: RejectionKind,
    /// The key in the store, if it is known.
    pub key: Option<String>,
    /// Why it was rejected.
    pub reason: String,
}

impl Rejection {
    /// Writes a log line.
    pub fn log(&self) {
        let (key, err) = (self.key.as_deref(), &self.reason);
        match self.kind {
            RejectionKind::Item => {
                warn!(key, err; "item of the store rejected, it counts as removed")
            }
            RejectionKind::Target => {
                warn!(key, err; "target entry rejected, the target counts as removed")
            }
            RejectionKind::Route => warn!(key, err; "invalid route skipped"),
            RejectionKind::Configuration => {
                warn!(key, err; "configuration rejected, the previous one stays in force")
            }
        }
    }
}

/// Decodes the value written under a key, and appends what can't be used to
/// `rejected`.
///
/// Returns `None` for an unrelated key and for an invalid configuration, so that
/// the previous one stays in force. An invalid target entry removes the target
/// that the key described before. A decoder that panics costs this value alone.
pub fn decode_change(key: &str, value: &[u8], rejected: &mut Vec<Rejection>) -> Option<Change> {
    let target = key.strip_prefix(TARGETS_PREFIX);
    let decoded = catch_unwind(AssertUnwindSafe(|| match target {
        Some(name) => decode_target(name, value),
        None if key == ROUTES_KEY => decode_routes(value, rejected).map(Some),
        None => Ok(None),
    }));
    let decoded = decoded.unwrap_or_else(|_| Err("the decoder panicked".to_owned()));
    let reason = match decoded {
        Ok(change) => return change,
        Err(reason) => reason,
    };
    let kind = match target {
        Some(_) => RejectionKind::Target,
        None => RejectionKind::Configuration,
    };
    rejected.push(Rejection {
        kind,
        key: Some(key.to_owned()),
        reason,
    });
    target.map(|name| Change::TargetRemoved { name: name.into() })
}

fn decode_target(name: &str, value: &[u8]) -> Result<Option<Change>, String> {
    let spec = records::decode_target(name, value).map_err(|err| err.to_string())?;
    Ok(Some(Change::Target(spec)))
}

fn decode_routes(value: &[u8], rejected: &mut Vec<Rejection>) -> Result<Change, String> {
    let on_skipped = |err: records::RecordError| {
        rejected.push(Rejection {
            kind: RejectionKind::Route,
            key: Some(ROUTES_KEY.to_owned()),
            reason: err.to_string(),
        });
    };
    let table = records::decode_routes(value, on_skipped).map_err(|err| err.to_string())?;
    Ok(Change::Routes(table))
}
