//! Log lines for decisions on packets, and for changes of targets and routes.

use cicadaweir_core::{
    prelude::*,
    steer::{Applied, DropReason, OpeningInputs, ResetReason, Segment},
    time,
};
use log::{info, warn};

use crate::logs::LineKind;

use super::Engine;

impl Engine {
    fn view_age_ms(&self) -> Option<u64> {
        self.steering.view_age(self.now).map(|age| age.as_millis())
    }

    /// Logs the placement of a new flow, with the inputs of the decision.
    pub(super) fn log_opening(
        &mut self,
        segment: &Segment,
        target: TargetKey,
        inputs: &OpeningInputs,
    ) {
        if !self.log_limiter.allows(LineKind::Opening, self.clock) {
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

    /// Logs the adoption of a flow that another entry VM placed.
    pub(super) fn log_adopted(&mut self, segment: &Segment, target: TargetKey) {
        if !self.log_limiter.allows(LineKind::Adopted, self.clock) {
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

    /// Logs the reset of a flow.
    pub(super) fn log_reset(&mut self, segment: &Segment, reason: ResetReason) {
        if !self.log_limiter.allows(LineKind::Reset, self.clock) {
            return;
        }
        if reason == ResetReason::Overloaded {
            return self.log_refusal(segment);
        }
        let directory = self.steering.directory();
        let target = directory.by_cookie(segment.cookie);
        let (unanswered, silent) = target.map_or((0, time::Duration::ZERO), |target| {
            self.steering.recent_unanswered(self.now, target)
        });
        info!(
            flow:display = segment.flow,
            reason:display = reason,
            target_name = target.and_then(|key| directory.target(key)).map(|entry| &*entry.name),
            strikes = unanswered,
            silent_ms = silent.as_millis(),
            version = directory.version(),
            view_age_ms = self.view_age_ms();
            "flow reset"
        );
    }

    /// Logs the refusal of an opening, with the inputs of the decision.
    fn log_refusal(&self, segment: &Segment) {
        let directory = self.steering.directory();
        let Some(route) = directory.route(&segment.flow.address, 0) else {
            return;
        };
        info!(
            flow:display = segment.flow,
            reason:display = ResetReason::Overloaded,
            service = directory.service_name(route.service),
            priority = route.priority,
            limit = self.steering.service_limit(route.service),
            in_flight = self.steering.service_in_flight(route.service),
            version = directory.version(),
            view_age_ms = self.view_age_ms();
            "flow reset"
        );
    }

    /// Logs a dropped packet.
    pub(super) fn log_drop(&mut self, segment: &Segment, reason: DropReason) {
        if !self.log_limiter.allows(LineKind::Drop, self.clock) {
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

    /// Logs a caller's retransmission of an unanswered request.
    pub(super) fn log_retransmitted(
        &mut self,
        flow: FlowKey,
        target: TargetKey,
        waited: time::Duration,
    ) {
        if !self.log_limiter.allows(LineKind::Retransmitted, self.clock) {
            return;
        }
        let entry = self.steering.directory().target(target);
        let (unanswered, silent) = self.steering.recent_unanswered(self.now, target);
        info!(
            flow:display,
            target_name = entry.map_or("", |entry| &entry.name),
            waited_ms = waited.as_millis(),
            strikes = unanswered,
            silent_ms = silent.as_millis(),
            view_age_ms = self.view_age_ms();
            "request retransmitted"
        );
    }

    /// Logs `message` when a target is suspected or cleared of suspicion.
    pub(super) fn log_suspicion(&mut self, message: &str, target: TargetKey, silent_ms: u64) {
        if !self.log_limiter.allows(LineKind::Suspicion, self.clock) {
            return;
        }
        let directory = self.steering.directory();
        let entry = directory.target(target);
        info!(
            target_name = entry.map_or("", |entry| &entry.name),
            target_zone = entry.map_or("", |entry| directory.zone_name(entry.zone)),
            silent_ms;
            "{message}"
        );
    }

    /// Logs the effect of a change in the store.
    pub(super) fn log_applied(&mut self, applied: Applied, revision: u64) {
        let is_target = matches!(
            applied,
            Applied::NewTarget(_) | Applied::UpdatedTarget(_) | Applied::Departed(_)
        );
        if is_target && !self.log_limiter.allows(LineKind::Directory, self.clock) {
            return;
        }
        let directory = self.steering.directory();
        let (message, key) = match applied {
            Applied::Routes => {
                let routes = directory.route_count();
                let version = directory.version();
                return info!(version, routes, revision; "configuration in force");
            }
            Applied::StaleRoutes | Applied::Unchanged => return,
            Applied::CookieCollision => {
                return warn!(revision; "another target has the same cookie, the new target gets no flows");
            }
            Applied::NewTarget(key) => ("target added", key),
            Applied::UpdatedTarget(key) => ("target changed", key),
            Applied::Departed(key) => ("target removed", key),
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
            "{message}"
        );
    }
}
