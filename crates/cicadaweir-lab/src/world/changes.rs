//! Faults, planned changes, and the measures taken at the end of a run.

use cicadaweir_core::{catalog::Change, prelude::*};

use super::{Behaviour, CallerState, Fault, World, callers::STALL_TIMEOUT};

impl World {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leave(index) => {
                self.handle_event(index, Event::Leave);
                // The fabric stops sending packets to the node once the platform
                // lists it as leaving; packets in flight still arrive.
                self.vms[index].in_rotation = false;
            }
            Fault::Crash(index) => {
                self.vms[index].node = None;
                self.vms[index].packets.clear();
                self.vms[index].in_rotation = false;
            }
            Fault::Start(index) => self.start_node(index),
            Fault::Pause(index, duration) => self.vms[index].paused_until = self.now + duration,
            Fault::CutZone(zone) => {
                for other in (0..self.options.zones).map(ZoneId) {
                    if other != zone {
                        self.links.cut(zone, other);
                        self.links.cut(other, zone);
                    }
                }
            }
            Fault::CutOneWay(from, to) => self.links.cut(from, to),
            Fault::Mend => self.links.restore(),
            Fault::AddTarget(service) => {
                let target = self.new_target(service);
                let service = self.options.services[service].name.clone();
                self.publish(vec![Change::AddTarget { service, target }]);
            }
            Fault::WithdrawTarget(service) => self.withdraw_target(service),
            Fault::Behave(target, behaviour) => {
                if behaviour == Behaviour::Crashed {
                    self.targets[target].open_connections.clear();
                    self.targets[target].queue.clear();
                    self.targets[target].busy_slots = 0;
                }
                self.targets[target].behaviour = behaviour;
            }
            Fault::StoreDown => self.store_available = false,
            Fault::StoreUp => {
                self.store_available = true;
                for index in 0..self.vms.len() {
                    self.read_store(index);
                }
            }
            Fault::LoseFlows(one_in) => self.lose_flows(one_in),
        }
    }

    pub(super) fn withdraw_target(&mut self, service: usize) {
        let found = (0..self.targets.len())
            .find(|&t| self.targets[t].service == service && !self.targets[t].withdrawn);
        let Some(target) = found else {
            return;
        };
        self.targets[target].withdrawn = true;
        self.publish(vec![Change::WithdrawTarget {
            service: self.options.services[service].name.clone(),
            target: format!("t{target}"),
        }]);
    }

    pub(super) fn lose_flows(&mut self, one_in: u32) {
        for (index, caller) in self.callers.iter().enumerate() {
            if caller.is_open() && index as u32 % one_in == 0 {
                self.lost_flows.insert(index as u32, self.now);
            }
        }
    }

    /// Takes the final measures: the imbalance over the first service's
    /// targets, and flows whose request exceeded the stall timeout.
    pub fn finalize_measures(&mut self) {
        let targets = self.targets.iter();
        let open: Vec<usize> = targets
            .filter(|t| t.service == 0 && !t.withdrawn && t.behaviour != Behaviour::Crashed)
            .map(|t| t.open_connections.len())
            .collect();
        let sum: usize = open.iter().sum();
        let max = open.iter().copied().max().unwrap_or(0);
        if sum > 0 {
            self.measures.imbalance = max as f64 * open.len() as f64 / sum as f64;
        }
        let stalled = self.callers.iter().filter(|c| {
            c.state == CallerState::AwaitingAnswer
                && self.now.since(c.step_started_at) > STALL_TIMEOUT
        });
        self.measures.broken += stalled.count() as u64;
    }
}
