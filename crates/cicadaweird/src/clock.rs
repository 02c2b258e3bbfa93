//! The clock of the core's decisions.

use std::sync::OnceLock;

use cicadaweir_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// The reading in microseconds that counts as the core's start time.
static START: OnceLock<u64> = OnceLock::new();

/// The time at the first reading, in microseconds. It is not zero, so that what
/// others have known for up to an hour before this process started has a time too.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// Returns [`ORIGIN_MICROS`] plus the time since the first call in this process.
///
/// It includes the time for which the machine was suspended, which
/// [`std::time::Instant`] leaves out: what was known before would otherwise count
/// as recent after it.
pub fn now() -> Instant {
    let reading = clock_gettime(ClockId::Boottime);
    let micros = reading.tv_sec as u64 * 1_000_000 + reading.tv_nsec as u64 / 1_000;
    let start = *START.get_or_init(|| micros);
    Instant::from_micros(micros.saturating_sub(start) + ORIGIN_MICROS)
}
