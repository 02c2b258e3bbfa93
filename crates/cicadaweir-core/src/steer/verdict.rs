//! What becomes of one packet.

use std::fmt;

use crate::catalog::TargetKey;

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// To a target that was just chosen.
    Place {
        /// The target.
        target: TargetKey,
        /// What decided.
        inputs: OpeningInputs,
    },
    /// To the target of its flow.
    Forward {
        /// The target.
        target: TargetKey,
        /// Whether this entry VM sees the flow for the first time.
        adopted: bool,
    },
    /// Back to the caller as a reset.
    Reset(ResetReason),
    /// Nowhere.
    Drop(DropReason),
    /// It can't be decided yet; to be kept and handed to
    /// [`super::Steering::enqueue`].
    Wait(WaitReason),
}

/// Why a packet waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No configuration is known yet.
    View,
    /// All targets that could take the opening have enough to do.
    Room,
}

/// What decided where an opening went.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OpeningInputs {
    /// Targets of the service that take new flows.
    pub candidates: u32,
    /// Of those, the ones that are not suspected.
    pub trusted: u32,
    /// The chosen target's score; lower is better.
    pub score: f32,
    /// The chosen target's requests in flight, as this entry VM knows.
    pub in_flight: f32,
    /// How many times as long as usual the own availability zone takes to
    /// answer; above some bound flows leave it.
    pub slowdown: f32,
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration in force has no such route.
    NoRoute,
    /// The service has no target that could take the flow.
    NoTarget,
    /// The flow's target has left the store and no longer answers.
    TargetGone,
    /// The flow's target answers nobody.
    TargetSilent,
}

/// Why a packet goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No configuration is known, or the one that is known may be outdated.
    RouteUnknown,
    /// The cookie names no target that is known.
    TargetUnknown,
    /// The cookie names a target of another service.
    OtherService,
    /// The packet isn't one that callers send.
    Unexpected,
    /// An earlier copy of the packet waits.
    Copy,
    /// Too many packets wait, or it has waited too long.
    Waited,
}

impl ResetReason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 4] = [
        Self::NoRoute,
        Self::NoTarget,
        Self::TargetGone,
        Self::TargetSilent,
    ];

    /// Returns the reason's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoTarget => "no_target",
            Self::TargetGone => "target_gone",
            Self::TargetSilent => "target_silent",
        }
    }
}

impl DropReason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::RouteUnknown,
        Self::TargetUnknown,
        Self::OtherService,
        Self::Unexpected,
        Self::Copy,
        Self::Waited,
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
