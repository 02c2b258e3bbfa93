//! Which queued answer leaves next.
//!
//! Answers towards callers share the entry VM's way out. [`FairQueue`] gives
//! short work the way first and divides the rest evenly; [`QuotaQueue`] holds
//! long flows to a byte rate, in the manner of KIP-73 (Kafka's replication
//! quotas: what would exceed the quota is left out of this round); and
//! [`FifoQueue`] is the baseline. docs/design/pacing.md gives the figures that
//! decided between them.

mod fair;
mod fifo;
mod item;
mod quota;

pub use fair::{FairQueue, Options};
pub use fifo::FifoQueue;
pub use item::Item;
pub use quota::{QuotaOptions, QuotaQueue};
