//! Snapshots of the catalog in the store.
//!
//! They are written before the head names them, under the new note's identity,
//! in values well below 1 MB. A snapshot that can't be written is left for the
//! next publication.

use cicadaweir_core::{
    catalog::{Catalog, ServiceKey},
    time::{Duration, Instant},
};
use cicadaweir_proto::{
    note,
    store::{Head, SnapshotRef, snapshot_key},
};
use cicadaweird::platform::{Platform, Swap};

use crate::history::wall_clock;

/// The longest that a daemon may be set to remember a quiet flow, and so to
/// keep a generation.
const LONGEST_QUIET_FLOW: Duration = Duration::from_secs(86_400);

/// The most bytes of one value.
const MOST_BYTES: usize = 512 << 10;

/// Returns whether the head's snapshot is so many notes old.
pub(super) fn is_due(head: &Head, every: u64) -> bool {
    let from = head.snapshot.as_ref().map_or(0, |s| s.revision);
    head.revision - from >= every
}

/// Writes a snapshot; `None` if the platform does not take it.
pub(super) fn write(
    platform: &impl Platform,
    mut catalog: Catalog,
    now_ms: u64,
) -> Option<SnapshotRef> {
    let now = wall_clock(now_ms);
    retire_old_generations(&mut catalog, now);
    let values = values(&catalog, now);
    let snapshot = SnapshotRef {
        revision: catalog.revision().0,
        note: catalog.note().to_string(),
        written_ms: now_ms,
        values: values.len() as u32,
    };
    for (at, value) in (0..).zip(&values) {
        let key = snapshot_key(&snapshot, at);
        let version = platform.get(&key).ok()?.map_or(0, |found| found.version);
        let swapped = platform.swap(&key, version, value).ok()?;
        if swapped == Swap::Conflict {
            return None;
        }
    }
    Some(snapshot)
}

/// Leaves out generations that no daemon keeps for so long.
fn retire_old_generations(catalog: &mut Catalog, now: Instant) {
    let services: Vec<ServiceKey> = catalog.multi_generation_services().collect();
    for key in services {
        catalog.retire_generations(key, |g| {
            Catalog::superseded_for(g, now) > LONGEST_QUIET_FLOW
        });
    }
}

/// Packs the parts into JSON arrays.
fn values(catalog: &Catalog, now: Instant) -> Vec<Vec<u8>> {
    let mut values = vec![vec![b'[']];
    for number in 0..catalog.parts() {
        let Some(part) = catalog.part(number, now) else {
            continue;
        };
        let record = note::part_to_json(&part);
        let last = values.len() - 1;
        if values[last].len() + record.len() > MOST_BYTES {
            values.push(vec![b'[']);
        }
        let value = values.last_mut().expect("one value is open");
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
