//! Steering by cookie, for carriers whose packets return a few bytes that an
//! entry VM chose.
//!
//! The entry VM that places an opening writes the target's [`Cookie`] into
//! the packet. Target and caller send it back, so every later packet of the
//! flow names its target at any entry VM: no table, message or owner is needed
//! to keep a flow where it is. What an entry VM remembers of a flow only serves
//! its view of load and of targets that no longer answer.
//!
//! | module | decides |
//! |---|---|
//! | [`Directory`] | which targets and routes exist, and which cookie names which target |
//! | [`Flows`] | what the caller's packets show of a flow |
//! | [`Preference`] | how strongly flows are kept in their own availability zone |
//! | [`AnswerTimes`] | whether an availability zone answers a service as fast as usual |
//! | [`Work`] | how much a target has to do, as the packets show it |
//! | [`Suspicion`] | which targets and availability zones no longer answer |
//! | [`PendingPackets`] | which packets wait for a decision |
//! | [`Steering`] | where a packet goes: all of the above |

mod affinity;
mod answer_times;
mod cookie;
mod counters;
mod directory;
mod flows;
mod observation;
mod options;
mod pending;
mod placement;
mod route;
mod segment;
mod steering;
mod suspicion;
mod target;
mod verdict;
mod work;
mod zones;

pub use affinity::Preference;
pub use answer_times::AnswerTimes;
pub use cookie::{Cookie, Identity};
pub use counters::Counters;
pub use directory::{Applied, Change, Directory, Presence, TargetEntry};
pub use flows::{Expired, FlowPhase, FlowState, Flows, Progress};
pub use observation::Observation;
pub use options::Options;
pub use pending::{PendingPacket, PendingPackets};
pub use placement::{Candidate, choose};
pub use route::{RequestKind, Route, RouteTable};
pub use segment::Segment;
pub use steering::Steering;
pub use suspicion::{Suspicion, Trust};
pub use target::{TargetSpec, TargetState};
pub use verdict::{DropReason, OpeningInputs, ResetReason, Verdict, WaitReason};
pub use work::Work;
pub use zones::{Distances, ZoneSet};
