//! What a key of the store says of routes and targets.

use cicadaweir_core::steer::Change;
use cicadaweir_platform::records::{self, ROUTES_KEY, TARGETS_PREFIX};
use log::warn;

/// Decodes what was written under a key. Returns none for a key of no interest
/// and for a configuration that can't be read, so that the one before stays; an
/// entry that names no target takes away the one that it named before.
pub fn decode_change(key: &str, value: &[u8]) -> Option<Change> {
    if key == ROUTES_KEY {
        let skipped = |err| warn!(err:display; "a route is left out");
        return match records::routes_from(value, skipped) {
            Ok(table) => Some(Change::Routes(table)),
            Err(err) => {
                warn!(key, err:display; "the configuration is ignored, the one before stays in force");
                None
            }
        };
    }
    let name = key.strip_prefix(TARGETS_PREFIX)?;
    match records::target_from(name, value) {
        Ok(spec) => Some(Change::Target(spec)),
        Err(err) => {
            warn!(target_name = name, err:display; "the entry names no target");
            Some(Change::TargetRemoved { name: name.into() })
        }
    }
}
