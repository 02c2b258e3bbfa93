//! Snapshots of the catalog in the store.
//!
//! A snapshot is written before the head refers to it, under keys that contain the
//! ID of the new note, in values well below 1 MB. If writing fails, the next
//! publication tries again.

use cicadaweir_core::{
    catalog::{Catalog, ServiceKey},
    time::{Duration, Instant},
};
use cicadaweir_proto::{
    note,
    store::{Head, SnapshotRef, snapshot_key},
};
use cicadaweird::platform::{Platform, Swap};

use crate::history::instant_from_unix_ms;

/// The maximum idle timeout of flows in the settings of a daemon. A daemon keeps a
/// superseded generation at most for that time.
const MAX_FLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(86_400);

/// The maximum size of a value of a snapshot, in bytes. The store accepts up to 1 MB.
const MAX_VALUE_BYTES: usize = 512 << 10;

/// Returns whether a new snapshot is due: at least `notes_per_snapshot` notes have
/// been accepted since the last one.
pub(super) fn is_due(head: &Head, notes_per_snapshot: u64) -> bool {
    let snapshot_revision = head.snapshot.as_ref().map_or(0, |s| s.revision);
    head.revision - snapshot_revision >= notes_per_snapshot
}

/// Writes a snapshot. Returns `None` if the platform does not answer or a value has
/// been changed concurrently.
pub(super) fn write(
    platform: &impl Platform,
    mut catalog: Catalog,
    now_ms: u64,
) -> Option<SnapshotRef> {
    let now = instant_from_unix_ms(now_ms);
    retire_old_generations(&mut catalog, now);
    let values = encode_values(&catalog, now);
    let snapshot = SnapshotRef {
        revision: catalog.revision().0,
        note: catalog.note().to_string(),
        written_ms: now_ms,
        values: values.len() as u32,
    };
    for (index, value) in (0..).zip(&values) {
        let key = snapshot_key(&snapshot, index);
        let version = platform.get(&key).ok()?.map_or(0, |found| found.version);
        let swapped = platform.swap(&key, version, value).ok()?;
        if swapped == Swap::Conflict {
            return None;
        }
    }
    Some(snapshot)
}

/// Removes superseded generations that are too old for any daemon to keep.
fn retire_old_generations(catalog: &mut Catalog, now: Instant) {
    let services: Vec<ServiceKey> = catalog.multi_generation_services().collect();
    for key in services {
        catalog.retire_generations(key, |g| {
            Catalog::superseded_for(g, now) > MAX_FLOW_IDLE_TIMEOUT
        });
    }
}

/// Encodes the parts as JSON arrays of at most about [`MAX_VALUE_BYTES`].
fn encode_values(catalog: &Catalog, now: Instant) -> Vec<Vec<u8>> {
    let mut values = vec![vec![b'[']];
    for number in 0..catalog.parts() {
        let Some(part) = catalog.part(number, now) else {
            continue;
        };
        let record = note::part_to_json(&part);
        let last = values.len() - 1;
        if values[last].len() + record.len() > MAX_VALUE_BYTES {
            values.push(vec![b'[']);
        }
        let value = values.last_mut().expect("values is never empty");
        if value.len() > 1 {
            value.push(b',');
        }
        value.extend_from_slice(&record);
    }
    for value in &mut values {
        value.push(b']');
    }
    values
}
