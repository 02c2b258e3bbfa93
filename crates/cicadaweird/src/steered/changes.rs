//! Decoding of store keys into changes of routes and targets.

use cicadaweir_core::steer::Change;
use cicadaweir_platform::records::{self, ROUTES_KEY, TARGETS_PREFIX};
use log::warn;

/// Decodes the value written under a key.
///
/// Returns `None` for an unrelated key and for an invalid configuration, so that
/// the previous one stays in force. An invalid target entry removes the target
/// that the key described before.
pub fn decode_change(key: &str, value: &[u8]) -> Option<Change> {
    if key == ROUTES_KEY {
        let on_skipped = |err| warn!(err:display; "invalid route skipped");
        return match records::decode_routes(value, on_skipped) {
            Ok(table) => Some(Change::Routes(table)),
            Err(err) => {
                warn!(key, err:display; "configuration rejected, the previous one stays in force");
                None
            }
        };
    }
    let name = key.strip_prefix(TARGETS_PREFIX)?;
    match records::decode_target(name, value) {
        Ok(spec) => Some(Change::Target(spec)),
        Err(err) => {
            warn!(target_name = name, err:display; "target entry rejected, the target counts as removed");
            Some(Change::TargetRemoved { name: name.into() })
        }
    }
}
