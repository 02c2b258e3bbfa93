//! Scheduling of response packets that are queued for sending to callers.
//!
//! Responses share the egress bandwidth of the entry VM. [`FairQueue`]
//! prioritizes short flows and divides the remaining bandwidth evenly among the
//! others. [`QuotaQueue`] limits the byte rate of long flows as KIP-73 does
//! (Kafka's replication quotas, where data in excess of the quota is left out of
//! the current round). [`FifoQueue`] is the baseline. See docs/design/pacing.md
//! for the measurements that compare them.

mod fair;
mod fifo;
mod item;
mod quota;

pub use fair::{FairQueue, Options};
pub use fifo::FifoQueue;
pub use item::Item;
pub use quota::{QuotaOptions, QuotaQueue};
