//! Steering by cookie, for carriers whose packets echo a few bytes that an
//! entry VM has set.
//!
//! The entry VM that places an opening writes the target's [`Cookie`] into the
//! packet. Target and caller echo it, so every later packet of the flow names
//! its target at any entry VM: no shared flow table, message or owner is needed
//! to keep a flow on its target. The state of flows in an entry VM serves only
//! to estimate the load of targets and to detect unresponsive ones.
//!
//! | type | responsibility |
//! |---|---|
//! | [`Directory`] | the known routes and targets, and the target of each cookie |
//! | [`Flows`] | the state of flows, from their callers' packets |
//! | [`ConcurrencyLimit`] | how many requests of a service may be in flight from this entry VM |
//! | [`ZoneAffinity`] | how strongly flows are kept in the local availability zone |
//! | [`ResponseTimes`] | the slowdown of a service in an availability zone |
//! | [`TargetLoad`] | the load of a target, from its callers' packets |
//! | [`Suspicion`] | failure detection of a target |
//! | [`PendingPackets`] | the queue of packets that can't be decided yet |
//! | [`Steering`] | the decision on each packet, from all of the above |

mod admission;
mod affinity;
mod cookie;
mod counters;
mod directory;
mod flows;
mod load;
mod observation;
mod options;
mod pending;
mod placement;
mod response_times;
mod route;
mod segment;
mod steering;
mod suspicion;
mod target;
mod verdict;
mod zones;

pub use admission::{AdmissionOptions, ConcurrencyLimit, LimitPolicy};
pub use affinity::ZoneAffinity;
pub use cookie::{Cookie, Identity};
pub use counters::Counters;
pub use directory::{Applied, Change, Directory, Presence, RouteMatch, RouteStatus, TargetEntry};
pub use flows::{Expired, FlowPhase, FlowState, Flows, Progress};
pub use load::TargetLoad;
pub use observation::Observation;
pub use options::Options;
pub use pending::{Fate, OpeningClass, PendingPacket, PendingPackets};
pub use placement::{Candidate, choose};
pub use response_times::ResponseTimes;
pub use route::{LOWEST_PRIORITY, RequestKind, Route, RouteTable};
pub use segment::Segment;
pub use steering::Steering;
pub use suspicion::{Suspicion, Trust};
pub use target::{TargetSpec, TargetState};
pub use verdict::{DropReason, OpeningInputs, ResetReason, Verdict, WaitReason};
pub use zones::{ZonePenalties, ZoneSet};
