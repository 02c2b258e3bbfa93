//! A line for each decision that touches a request or changes a belief.

use cicadaweir_core::{
    prelude::*,
    steer::{Applied, DropReason, OpeningInputs, ResetReason, Segment},
    time,
};
use log::{info, warn};

use crate::logs::Kind;

use super::Engine;

impl Engine {
    fn view_age_ms(&self) -> Option<u64> {
        self.steering.view_age(self.now).map(|age| age.as_millis())
    }

    pub(super) fn log_opening(
        &mut self,
        segment: &Segment,
        target: TargetKey,
        inputs: &OpeningInputs,
    ) {
        if !self.budget.allows(Kind::Opening, self.clock) {
            return;
        }
        let directory = self.steering.directory();
        let entry = directory.target(target);
        info!(
            flow:display = segment.flow,
            copy = segment.copy,
            target_name = entry.map_or("", |entry| &entry.name),
            target_zone = entry.map_or("", |entry| directory.zone_name(entry.zone)),
            candidates = inputs.candidates,
            trusted = inputs.trusted,
            in_flight = inputs.in_flight,
            score = inputs.score,
            slowdown = inputs.slowdown,
            version = directory.version(),
            view_age_ms = self.view_age_ms();
            "opening placed"
        );
    }

    pub(super) fn log_adopted(&mut self, segment: &Segment, target: TargetKey) {
        if !self.budget.allows(Kind::Adopted, self.clock) {
            return;
        }
        let entry = self.steering.directory().target(target);
        info!(
            flow:display = segment.flow,
            cookie:display = segment.cookie,
            target_name = entry.map_or("", |entry| &entry.name),
            view_age_ms = self.view_age_ms();
            "flow adopted"
        );
    }

    pub(super) fn log_reset(&mut self, segment: &Segment, reason: ResetReason) {
        if !self.budget.allows(Kind::Reset, self.clock) {
            return;
        }
        let directory = self.steering.directory();
        let target = directory.by_cookie(segment.cookie);
        let (strikes, silent) = target.map_or((0, time::Duration::ZERO), |target| {
            self.steering.recent_unanswered(self.now, target)
        });
        info!(
            flow:display = segment.flow,
            reason:display = reason,
            target_name = target.and_then(|key| directory.target(key)).map(|entry| &*entry.name),
            strikes,
            silent_ms = silent.as_millis(),
            version = directory.version(),
            view_age_ms = self.view_age_ms();
            "flow reset"
        );
    }

    pub(super) fn log_drop(&mut self, segment: &Segment, reason: DropReason) {
        if !self.budget.allows(Kind::Drop, self.clock) {
            return;
        }
        info!(
            flow:display = segment.flow,
            kind:debug = segment.kind,
            cookie:display = segment.cookie,
            reason:display = reason,
            version = self.steering.directory().version(),
            view_age_ms = self.view_age_ms();
            "packet dropped"
        );
    }

    pub(super) fn log_repeated(
        &mut self,
        flow: FlowKey,
        target: TargetKey,
        waited: time::Duration,
    ) {
        if !self.budget.allows(Kind::Repeated, self.clock) {
            return;
        }
        let entry = self.steering.directory().target(target);
        let (strikes, silent) = self.steering.recent_unanswered(self.now, target);
        info!(
            flow:display,
            target_name = entry.map_or("", |entry| &entry.name),
            waited_ms = waited.as_millis(),
            strikes,
            silent_ms = silent.as_millis(),
            view_age_ms = self.view_age_ms();
            "request repeated"
        );
    }

    pub(super) fn log_belief(&mut self, what: &str, target: TargetKey, silent_ms: u64) {
        if !self.budget.allows(Kind::Belief, self.clock) {
            return;
        }
        let directory = self.steering.directory();
        let entry = directory.target(target);
        info!(
            target_name = entry.map_or("", |entry| &entry.name),
            target_zone = entry.map_or("", |entry| directory.zone_name(entry.zone)),
            silent_ms;
            "{what}"
        );
    }

    pub(super) fn log_applied(&self, applied: Applied, revision: u64) {
        let directory = self.steering.directory();
        let (what, key) = match applied {
            Applied::Routes => {
                let routes = directory.route_count();
                let version = directory.version();
                return info!(version, routes, revision; "configuration in force");
            }
            Applied::StaleRoutes | Applied::Unchanged => return,
            Applied::CookieCollision => {
                return warn!(revision; "a target's cookie is taken, the target gets no flows");
            }
            Applied::NewTarget(key) => ("target new", key),
            Applied::UpdatedTarget(key) => ("target changed", key),
            Applied::Departed(key) => ("target departed", key),
        };
        let Some(entry) = directory.target(key) else {
            return;
        };
        info!(
            target_name = entry.name,
            service = directory.service_name(entry.service),
            target_zone = directory.zone_name(entry.zone),
            address:display = entry.address,
            state:debug = entry.state,
            born = entry.born,
            revision;
            "{what}"
        );
    }
}
