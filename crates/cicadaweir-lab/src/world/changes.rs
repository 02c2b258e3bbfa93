//! Faults and changes, and the closing account.

use cicadaweir_core::{catalog::Change, prelude::*};

use super::{Behaviour, CallerState, Fault, World, callers::STALL_LIMIT};

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leave(at) => {
                self.step(at, Event::Leave);
                // The fabric stops spraying once the platform lists it as
                // leaving; packets that are under way still arrive.
                self.vms[at].sprayed = false;
            }
            Fault::Crash(at) => {
                self.vms[at].node = None;
                self.vms[at].held.clear();
                self.vms[at].sprayed = false;
            }
            Fault::Start(at) => self.start_node(at),
            Fault::Pause(at, span) => self.vms[at].paused_until = self.now + span,
            Fault::CutZone(zone) => {
                for other in (0..self.options.zones).map(ZoneId) {
                    if other != zone {
                        self.links.cut(zone, other);
                        self.links.cut(other, zone);
                    }
                }
            }
            Fault::CutOneWay(from, to) => self.links.cut(from, to),
            Fault::Mend => self.links.mend(),
            Fault::AddTarget(service) => {
                let target = self.new_target(service);
                let service = self.options.services[service].name.clone();
                self.publish(vec![Change::AddTarget { service, target }]);
            }
            Fault::WithdrawTarget(service) => self.withdraw_target(service),
            Fault::Behave(target, behaviour) => {
                if behaviour == Behaviour::Crashed {
                    self.targets[target].open.clear();
                    self.targets[target].waiting.clear();
                    self.targets[target].busy = 0;
                }
                self.targets[target].behaviour = behaviour;
            }
            Fault::StoreDown => self.store_up = false,
            Fault::StoreUp => {
                self.store_up = true;
                for at in 0..self.vms.len() {
                    self.read_store(at);
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

    /// Closes the account: imbalance over the first service's targets.
    pub fn finish(&mut self) {
        let targets = self.targets.iter();
        let open: Vec<usize> = targets
            .filter(|t| t.service == 0 && !t.withdrawn && t.behaviour != Behaviour::Crashed)
            .map(|t| t.open.len())
            .collect();
        let sum: usize = open.iter().sum();
        let most = open.iter().copied().max().unwrap_or(0);
        if sum > 0 {
            self.measures.imbalance = most as f64 * open.len() as f64 / sum as f64;
        }
        let unfinished = self
            .callers
            .iter()
            .filter(|c| c.state == CallerState::Waiting && self.now.since(c.since) > STALL_LIMIT);
        self.measures.broken += unfinished.count() as u64;
    }
}
