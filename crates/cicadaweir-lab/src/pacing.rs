//! Short work beside downloads at one entry VM's way out.
//!
//! The way out carries [`RATE`] bytes a second. Downloads keep a window of
//! packets queued all the time; short answers of a few packets arrive at
//! random. Each policy gets the same arrivals.

use cicadaweir_core::{
    pace::{FairQueue, FifoQueue, Item, Options, QuotaOptions, QuotaQueue},
    packet::PacketRef,
    time::Instant,
};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The way out, in bytes a second.
pub const RATE: u64 = 12_500_000;

/// The length of every packet, in bytes.
const PACKET_BYTES: u32 = 1_000;

/// Packets that each download keeps queued.
const WINDOW: u32 = 32;

/// Packets of a short answer.
const SHORT_PACKETS: u32 = 3;

/// Short answers a second.
const SHORT_RATE: f64 = 1_000.0;

/// Simulated time in seconds.
const SECONDS: f64 = 20.0;

/// Flow numbers below this are downloads.
const DOWNLOADS_END: u64 = 1_000;

/// A policy for the way out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pacing {
    /// First in, first out.
    Fifo,
    /// A quota on long flows, as a part of the way out.
    Quota(f64),
    /// Fair between flows, new ones first.
    Fair,
}

/// What one policy gives.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The time from an answer's arrival to its last packet's departure, in
    /// microseconds.
    pub short: Histogram<u64>,
    /// Bytes of downloads sent a second.
    pub download_rate: f64,
    /// The least and the most that one download sent, in bytes.
    pub download_spread: (u64, u64),
}

enum Queue {
    Fifo(FifoQueue),
    Quota(QuotaQueue),
    Fair(FairQueue),
}

impl Queue {
    fn new(pacing: Pacing) -> Self {
        match pacing {
            Pacing::Fifo => Self::Fifo(FifoQueue::default()),
            Pacing::Quota(part) => Self::Quota(QuotaQueue::new(QuotaOptions {
                long_after: 64_000,
                quota: (RATE as f64 * part) as u64,
            })),
            Pacing::Fair => Self::Fair(FairQueue::new(Options {
                max_items: 1 << 20,
                ..Options::default()
            })),
        }
    }

    fn push(&mut self, item: Item) {
        match self {
            Self::Fifo(q) => q.push(item),
            Self::Quota(q) => q.push(item),
            Self::Fair(q) => {
                q.push(item);
            }
        }
    }

    fn pop(&mut self, now: Instant) -> Option<Item> {
        match self {
            Self::Fifo(q) => q.pop(),
            Self::Quota(q) => q.pop(now),
            Self::Fair(q) => q.pop(),
        }
    }
}

/// Tries one policy beside a number of downloads.
///
/// # Panics
///
/// Never: the bounds of the histogram are constant.
pub fn run(pacing: Pacing, downloads: u64, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut queue = Queue::new(pacing);
    for download in 0..downloads {
        for _ in 0..WINDOW {
            queue.push(item(download));
        }
    }
    let mut short = Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds");
    let mut open: IndexMap<u64, (f64, u32)> = IndexMap::new();
    let mut sent = vec![0u64; downloads as usize];
    let mut next_flow = DOWNLOADS_END;
    let mut next_arrival = exponential(&mut random);
    let step = f64::from(PACKET_BYTES) / RATE as f64;
    let mut now = 0.0;
    while now < SECONDS {
        while next_arrival <= now {
            open.insert(next_flow, (next_arrival, SHORT_PACKETS));
            for _ in 0..SHORT_PACKETS {
                queue.push(item(next_flow));
            }
            next_flow += 1;
            next_arrival += exponential(&mut random);
        }
        now += step;
        let clock = Instant::from_micros((now * 1e6) as u64);
        let Some(item) = queue.pop(clock) else {
            continue;
        };
        if item.flow < DOWNLOADS_END {
            sent[item.flow as usize] += u64::from(item.bytes);
            queue.push(item);
            continue;
        }
        let entry = &mut open[&item.flow];
        entry.1 -= 1;
        if entry.1 == 0 {
            let took = (now - entry.0) * 1e6;
            short.saturating_record(took as u64);
            open.swap_remove(&item.flow);
        }
    }
    let total: u64 = sent.iter().sum();
    Outcome {
        short,
        download_rate: total as f64 / SECONDS,
        download_spread: (
            sent.iter().copied().min().unwrap_or(0),
            sent.iter().copied().max().unwrap_or(0),
        ),
    }
}

fn item(flow: u64) -> Item {
    Item {
        flow,
        packet: PacketRef(0),
        bytes: PACKET_BYTES,
    }
}

fn exponential(random: &mut Pcg64Mcg) -> f64 {
    let uniform = ((random.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / SHORT_RATE
}
