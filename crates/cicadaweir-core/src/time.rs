//! Points in time and spans, in microseconds, as the driver counts them.

use std::ops::{Add, AddAssign, Sub};

/// A span of time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Duration(u64);

/// A point on the driver's monotonic clock, in microseconds since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(u64);

impl Duration {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// Makes a span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Makes a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the span in whole microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span multiplied by a whole number.
    pub const fn times(self, n: u64) -> Self {
        Self(self.0.saturating_mul(n))
    }
}

impl Instant {
    /// The start of the driver's clock.
    pub const START: Self = Self(0);

    /// Makes a point that lies the given microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier point, or zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Duration {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;
    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;
    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}
