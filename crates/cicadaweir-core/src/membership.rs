//! Which entry VMs are alive, and which one owns a bucket.
//!
//! The platform's list names candidates; the entry VMs' own probes decide who
//! is alive (SWIM: Das, Gupta and Motivala 2002, with suspicion, refutation
//! and incarnations). Each member probes a fixed number of others a period,
//! so its cost does not grow with the fleet.

mod detector;
mod dissemination;
mod id;
mod member;
mod options;
mod slots;
mod view;

pub use detector::{Detector, Probe};
pub use dissemination::{Dissemination, TRANSMISSIONS_PER_LOG};
pub use id::MemberId;
pub use member::{Health, ListEntry, Member, MemberUpdate, Phase};
pub use options::Options;
pub use slots::{SLOTS, SlotTable, slot_of};
pub use view::{MergeOutcome, View};
