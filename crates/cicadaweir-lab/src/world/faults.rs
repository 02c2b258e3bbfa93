//! What goes wrong, or is changed.

use cicadaweir_core::{catalog::ZoneId, time::Duration};

use super::Behaviour;

/// One fault or change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node is asked to leave.
    Leave(usize),
    /// A node ends without a word.
    Crash(usize),
    /// A node starts anew, with an empty memory.
    Start(usize),
    /// A node does nothing for a while and goes on as if nothing had been.
    Pause(usize, Duration),
    /// A zone is cut off from all others, in both directions.
    CutZone(ZoneId),
    /// What one zone sends to another is lost.
    CutOneWay(ZoneId, ZoneId),
    /// All cuts end.
    Mend,
    /// A release note adds a target to a service.
    AddTarget(usize),
    /// A release note withdraws the first target of a service.
    WithdrawTarget(usize),
    /// A target behaves in another way from now on.
    Behave(usize, Behaviour),
    /// The store answers nobody.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// The connection of one caller in this many is lost in between: its
    /// packets no longer reach its target.
    LoseFlows(u32),
}
