//! State of a simulated target: slots, connections and injected faults.

use std::collections::VecDeque;

use cicadaweir_core::{
    catalog::ZoneId,
    load::{ProbeResult, Report},
    time::Duration,
};
use indexmap::IndexSet;

use super::event::Packet;

/// How a target behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Without faults.
    #[default]
    Good,
    /// Receives packets and probes without answering either.
    Crashed,
    /// Answers probes but no packets of callers.
    Mute,
    /// Serves requests, but reports no open connections and no pending
    /// requests.
    SaysIdle,
    /// Serves requests, but repeats its last report.
    Frozen,
    /// Multiplies the processing time of requests by this factor.
    Slow(u32),
}

/// One target.
#[derive(Debug, Clone)]
pub struct Target {
    /// The service's index.
    pub service: usize,
    /// The availability zone.
    pub zone: ZoneId,
    /// The connection limit.
    pub max_connections: u32,
    /// Requests processed concurrently.
    pub slots: u16,
    /// The mean processing time of a request without faults.
    pub service_time: Duration,
    /// The current behaviour.
    pub behaviour: Behaviour,
    /// Indexes of the callers with an open connection.
    pub open_connections: IndexSet<u32>,
    /// Requests waiting for a slot.
    pub queue: VecDeque<Packet>,
    /// Slots in use.
    pub busy_slots: u16,
    /// Requests completed.
    pub completed: u64,
    /// The latest report, repeated by [`Behaviour::Frozen`].
    pub last_report: Report,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
}

impl Target {
    /// Returns the result of a probe.
    pub fn probe(&mut self) -> ProbeResult {
        let report = Report {
            open: self.open_connections.len() as u32,
            pending: self.queue.len() as u32 + u32::from(self.busy_slots),
            completed: self.completed,
            draining: false,
        };
        match self.behaviour {
            Behaviour::Crashed => ProbeResult::Silent,
            Behaviour::SaysIdle => ProbeResult::Healthy(Report {
                open: 0,
                pending: 0,
                ..report
            }),
            Behaviour::Frozen => ProbeResult::Healthy(self.last_report),
            Behaviour::Good | Behaviour::Mute | Behaviour::Slow(_) => {
                self.last_report = report;
                ProbeResult::Healthy(report)
            }
        }
    }

    /// Returns whether the target answers packets of callers.
    pub const fn is_responding(&self) -> bool {
        !matches!(self.behaviour, Behaviour::Crashed | Behaviour::Mute)
    }

    /// Returns the mean processing time of a request under the current
    /// behaviour.
    pub const fn service_time(&self) -> Duration {
        match self.behaviour {
            Behaviour::Slow(factor) => self.service_time.times(factor as u64),
            _ => self.service_time,
        }
    }
}
