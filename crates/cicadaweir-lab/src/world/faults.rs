//! Faults and planned changes.

use cicadaweir_core::{catalog::ZoneId, time::Duration};

use super::Behaviour;

/// One fault or planned change. Nodes, services and targets are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node begins a planned stop.
    Leave(usize),
    /// A node stops without notifying the others.
    Crash(usize),
    /// A node starts or restarts, with empty state.
    Start(usize),
    /// A node's process is suspended for a time and then resumes with its state.
    Pause(usize, Duration),
    /// A zone is partitioned from all others, in both directions.
    CutZone(ZoneId),
    /// All traffic from one zone to another is lost; the other direction works.
    CutOneWay(ZoneId, ZoneId),
    /// All partitions end.
    Mend,
    /// A release note adds a target to a service.
    AddTarget(usize),
    /// A release note withdraws the first target of a service.
    WithdrawTarget(usize),
    /// A target changes its behaviour.
    Behave(usize, Behaviour),
    /// The store becomes unavailable.
    StoreDown,
    /// The store becomes available again.
    StoreUp,
    /// Of the open flows, those whose caller's index is a multiple of this
    /// number lose connectivity: their packets no longer reach the target.
    LoseFlows(u32),
}
