//! The decision on one packet.

use std::fmt;

use crate::catalog::TargetKey;

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Send it to a target that was just chosen for its flow.
    Place {
        /// The target.
        target: TargetKey,
        /// The values on which the choice was based.
        inputs: OpeningInputs,
    },
    /// Send it to the target of its flow.
    Forward {
        /// The target.
        target: TargetKey,
        /// Whether this entry VM sees the flow for the first time.
        adopted: bool,
    },
    /// Send a reset to the caller.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
    /// Keep it and pass it to [`super::Steering::enqueue`]: it can't be decided
    /// yet.
    Wait(WaitReason),
}

/// Why a packet waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// The store has not been read far enough to decide.
    StoreNotRead,
    /// All targets that could take the opening are full.
    NoCapacity,
}

/// The values on which the choice of a target for an opening was based.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OpeningInputs {
    /// The number of the service's targets that are eligible for new flows.
    pub candidates: u32,
    /// The number of trusted ones among these.
    pub trusted: u32,
    /// The chosen target's score; lower is better.
    pub score: f32,
    /// The chosen target's requests in flight from this entry VM.
    pub in_flight: f32,
    /// The ratio of the local availability zone's response time to its
    /// baseline; above a bound, flows leave the zone.
    pub slowdown: f32,
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration in force has no route for the address.
    NoRoute,
    /// The service has no target that could take the flow.
    NoTarget,
    /// The flow's target has left the store and doesn't answer.
    TargetGone,
    /// The flow's target is unresponsive.
    TargetSilent,
    /// The service gets more openings than its targets answer in time, and no packet
    /// of this flow has been sent to a target.
    Overloaded,
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No route is known for the address, and the view of the routes may be
    /// stale.
    RouteUnknown,
    /// The cookie names no known target.
    TargetUnknown,
    /// The cookie names a target of another service.
    OtherService,
    /// Callers don't send packets of this kind.
    Unexpected,
    /// An earlier copy of the packet is pending, or has opened the flow.
    Copy,
    /// Too many packets are pending, or this one has been pending for too long.
    Waited,
    /// The opening may have been sent long ago, so that its caller may have opened the
    /// flow with a later copy.
    Overtaken,
}

impl ResetReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::NoRoute,
        Self::NoTarget,
        Self::TargetGone,
        Self::TargetSilent,
        Self::Overloaded,
    ];

    /// Returns the reason's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoTarget => "no_target",
            Self::TargetGone => "target_gone",
            Self::TargetSilent => "target_silent",
            Self::Overloaded => "overloaded",
        }
    }
}

impl DropReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 7] = [
        Self::RouteUnknown,
        Self::TargetUnknown,
        Self::OtherService,
        Self::Unexpected,
        Self::Copy,
        Self::Waited,
        Self::Overtaken,
    ];

    /// Returns the reason's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::RouteUnknown => "route_unknown",
            Self::TargetUnknown => "target_unknown",
            Self::OtherService => "other_service",
            Self::Unexpected => "unexpected",
            Self::Copy => "copy",
            Self::Waited => "waited",
            Self::Overtaken => "overtaken",
        }
    }
}

impl fmt::Display for ResetReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
