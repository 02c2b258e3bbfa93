//! Load patterns.

use cicadaweir_core::steer::RequestKind;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Its share of the requests.
    pub share: f64,
    /// The mean work of a request in milliseconds.
    pub work_ms: f64,
    /// The latency objective in milliseconds, from the caller's first attempt.
    pub aim_ms: u64,
    /// When the caller gives up, in milliseconds.
    pub timeout_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
}

/// What happens while the load lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// The work of the first targets takes several times as long.
    SlowTargets {
        /// The share of the targets.
        share: f64,
        /// How many times as long.
        factor: f64,
        /// When, in seconds.
        from: f64,
        /// Until when, in seconds.
        until: f64,
    },
    /// All entry VMs start again and know nothing of the load.
    RestartEntryVms {
        /// When they end, in seconds.
        from: f64,
        /// When they are back, in seconds.
        until: f64,
    },
    /// All callers of one zone send several times as much as those of the others.
    ZoneBurst {
        /// How many times as much.
        factor: f64,
        /// When, in seconds.
        from: f64,
        /// Until when, in seconds.
        until: f64,
    },
    /// The first targets refuse all openings.
    TargetsDown {
        /// The share of the targets.
        share: f64,
        /// When, in seconds.
        from: f64,
        /// Until when, in seconds.
        until: f64,
    },
}

/// The requests of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// The kinds of request; the shares add up to 1.
    pub classes: Vec<Class>,
    /// Requests per second outside the burst.
    pub base_rate: f64,
    /// Requests per second during the burst.
    pub burst_rate: f64,
    /// The start of the burst in seconds.
    pub burst_from: f64,
    /// The end of the burst in seconds.
    pub burst_until: f64,
    /// The end of the load in seconds.
    pub end: f64,
    /// How often a refused caller comes back.
    pub retries: u32,
    /// Milliseconds after which a refused caller comes back.
    pub retry_ms: f64,
    /// What happens meanwhile.
    pub troubles: Vec<Trouble>,
}

impl Default for Load {
    /// Returns a calm load without a burst: listings and notes as on the users'
    /// sites, a third of the capacity of the default site.
    fn default() -> Self {
        let listing = Class {
            share: 0.78,
            work_ms: 26.0,
            aim_ms: 200,
            timeout_ms: 1_000,
            priority: 2,
            kind: RequestKind::Idempotent,
        };
        let note = Class {
            share: 0.22,
            work_ms: 33.0,
            aim_ms: 250,
            timeout_ms: 1_200,
            priority: 1,
            kind: RequestKind::AtMostOnce,
        };
        Self {
            classes: vec![listing, note],
            base_rate: 330.0,
            burst_rate: 330.0,
            burst_from: 4.0,
            burst_until: 10.0,
            end: 14.0,
            retries: 2,
            retry_ms: 2.0,
            troubles: Vec::new(),
        }
    }
}

impl Load {
    /// Returns a burst of a multiple of a site's capacity.
    pub fn burst(site: &super::Site, times_capacity: f64) -> Self {
        let calm = Self::default();
        let capacity = site.capacity(calm.mean_work_ms());
        Self {
            base_rate: capacity * 0.33,
            burst_rate: capacity * times_capacity,
            ..calm
        }
    }

    /// Returns the mean work of a request in milliseconds.
    pub fn mean_work_ms(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.share * class.work_ms)
            .sum()
    }

    /// Returns the requests per second at a time in seconds.
    pub fn rate(&self, at: f64) -> f64 {
        if (self.burst_from..self.burst_until).contains(&at) {
            self.burst_rate
        } else {
            self.base_rate
        }
    }
}
