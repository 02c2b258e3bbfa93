//! Membership of the fleet, failure detection and ownership of buckets.
//!
//! The platform's list provides candidates. Which of them are alive is decided
//! by probes between the entry VMs (SWIM: Das, Gupta and Motivala 2002, with
//! suspicion, refutation and incarnations). Each member probes a fixed number
//! of others per period, so its cost does not grow with the fleet.

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
