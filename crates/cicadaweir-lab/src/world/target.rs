//! A target: slots, connections, and ways to misbehave.

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
    /// As it should.
    #[default]
    Good,
    /// It is gone.
    Crashed,
    /// It takes packets and answers probes, and answers no caller.
    Mute,
    /// It works, and its reports say that it is idle.
    SaysIdle,
    /// It works, and its reports stay as they were.
    Frozen,
    /// It takes this many times as long for its work.
    Slow(u32),
}

/// One target.
#[derive(Debug, Clone)]
pub struct Target {
    /// The service's index.
    pub service: usize,
    /// The availability zone.
    pub zone: ZoneId,
    /// The most connections.
    pub connections: u32,
    /// Requests at once.
    pub slots: u16,
    /// How long a request takes.
    pub work: Duration,
    /// How it behaves.
    pub behaviour: Behaviour,
    /// Callers with an open connection.
    pub open: IndexSet<u32>,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<Packet>,
    /// Requests at work.
    pub busy: u16,
    /// Requests completed.
    pub completed: u64,
    /// The last report, for [`Behaviour::Frozen`].
    pub frozen: Report,
    /// Whether a release note has withdrawn it.
    pub withdrawn: bool,
}

impl Target {
    /// Returns what a probe sees.
    pub fn probe(&mut self) -> ProbeResult {
        let report = Report {
            open: self.open.len() as u32,
            pending: self.waiting.len() as u32 + u32::from(self.busy),
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
            Behaviour::Frozen => ProbeResult::Healthy(self.frozen),
            Behaviour::Good | Behaviour::Mute | Behaviour::Slow(_) => {
                self.frozen = report;
                ProbeResult::Healthy(report)
            }
        }
    }

    /// Returns whether packets are answered.
    pub const fn answers(&self) -> bool {
        !matches!(self.behaviour, Behaviour::Crashed | Behaviour::Mute)
    }

    /// Returns how long a request takes.
    pub const fn work_time(&self) -> Duration {
        match self.behaviour {
            Behaviour::Slow(times) => self.work.times(times as u64),
            _ => self.work,
        }
    }
}
