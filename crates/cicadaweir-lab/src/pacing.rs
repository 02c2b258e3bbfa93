//! Latency of short answers next to downloads on one entry VM's egress link.
//!
//! The link carries [`EGRESS_BYTES_PER_SEC`]. Each download keeps a window of
//! packets queued all the time; short answers of a few packets arrive as a
//! Poisson process. Each policy gets the same arrivals.

use cicadaweir_core::{
    pace::{FairQueue, FifoQueue, Item, Options, QuotaOptions, QuotaQueue},
    packet::PacketRef,
    time::Instant,
};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The capacity of the egress link, in bytes per second.
pub const EGRESS_BYTES_PER_SEC: u64 = 12_500_000;

/// The length of each packet, in bytes.
const PACKET_BYTES: u32 = 1_000;

/// Packets that each download keeps queued.
const DOWNLOAD_WINDOW_PACKETS: u32 = 32;

/// Packets per short answer.
const SHORT_ANSWER_PACKETS: u32 = 3;

/// The mean arrival rate of short answers, per second.
const SHORT_ANSWERS_PER_SEC: f64 = 1_000.0;

/// Simulated time in seconds.
const DURATION_SECS: f64 = 20.0;

/// The number of the first short flow; lower numbers are downloads.
const FIRST_SHORT_FLOW: u64 = 1_000;

/// A scheduling policy of the egress link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pacing {
    /// First in, first out.
    Fifo,
    /// A quota on long flows, as a fraction of the link's capacity.
    Quota(f64),
    /// Fair queueing between flows, with priority for new flows.
    Fair,
}

/// The result of one policy.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The time from a short answer's arrival to the departure of its last
    /// packet, in microseconds.
    pub short_latency_us: Histogram<u64>,
    /// Bytes per second sent by all downloads together.
    pub download_bytes_per_sec: f64,
    /// The bytes sent by the slowest and by the fastest download.
    pub download_bytes_range: (u64, u64),
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
            Pacing::Quota(fraction) => Self::Quota(QuotaQueue::new(QuotaOptions {
                long_after: 64_000,
                quota: (EGRESS_BYTES_PER_SEC as f64 * fraction) as u64,
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

/// Simulates one policy with a number of downloads.
pub fn run(pacing: Pacing, downloads: u64, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut queue = Queue::new(pacing);
    for download in 0..downloads {
        for _ in 0..DOWNLOAD_WINDOW_PACKETS {
            queue.push(item(download));
        }
    }
    let mut short_latency_us =
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant histogram bounds are valid");
    // The arrival time in seconds and the unsent packets of each short answer.
    let mut open: IndexMap<u64, (f64, u32)> = IndexMap::new();
    let mut sent = vec![0u64; downloads as usize];
    let mut next_flow = FIRST_SHORT_FLOW;
    let mut next_arrival = next_interval(&mut random);
    let step = f64::from(PACKET_BYTES) / EGRESS_BYTES_PER_SEC as f64;
    let mut now = 0.0;
    while now < DURATION_SECS {
        while next_arrival <= now {
            open.insert(next_flow, (next_arrival, SHORT_ANSWER_PACKETS));
            for _ in 0..SHORT_ANSWER_PACKETS {
                queue.push(item(next_flow));
            }
            next_flow += 1;
            next_arrival += next_interval(&mut random);
        }
        now += step;
        let clock = Instant::from_micros((now * 1e6) as u64);
        let Some(item) = queue.pop(clock) else {
            continue;
        };
        if item.flow < FIRST_SHORT_FLOW {
            sent[item.flow as usize] += u64::from(item.bytes);
            queue.push(item);
            continue;
        }
        let entry = &mut open[&item.flow];
        entry.1 -= 1;
        if entry.1 == 0 {
            let took = (now - entry.0) * 1e6;
            short_latency_us.saturating_record(took as u64);
            open.swap_remove(&item.flow);
        }
    }
    let total: u64 = sent.iter().sum();
    Outcome {
        short_latency_us,
        download_bytes_per_sec: total as f64 / DURATION_SECS,
        download_bytes_range: (
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

/// Draws the exponentially distributed time to the next short answer, in
/// seconds.
fn next_interval(random: &mut Pcg64Mcg) -> f64 {
    let uniform = ((random.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / SHORT_ANSWERS_PER_SEC
}
