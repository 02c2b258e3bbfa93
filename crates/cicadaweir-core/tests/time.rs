//! Arithmetic of times and durations.

use cicadaweir_core::time::{Duration, Instant};

#[test]
fn arithmetic_saturates() {
    let longest = Duration::from_micros(u64::MAX);
    assert_eq!(Duration::from_millis(u64::MAX), longest);
    assert_eq!(Duration::from_secs(u64::MAX), longest);
    assert_eq!(longest + longest, longest);
    assert_eq!(longest.times(3), longest);
    let last = Instant::from_micros(u64::MAX);
    assert_eq!(last + longest, last);
    assert_eq!(Instant::START - longest, Instant::START);
    assert_eq!(Instant::START.since(last), Duration::ZERO);
}
