//! What requests at targets come to, in the router's books.

use super::RequestRouter;
use crate::{
    decision::{PlacementAsk, SentRequest, TargetPlacement},
    dialect::ResponseMetadata,
    policy::ServicePolicy,
};
use fighall_core::ids::BootTime;
use std::time::Duration;

impl RequestRouter {
    /// Counts a request as sent to its target. What it returns goes to one of the `note_` functions
    /// below when the request has ended there.
    pub fn start(&mut self, ask: &PlacementAsk, placement: &TargetPlacement) -> SentRequest {
        if let Some(record) = self.roster.get_mut(&placement.target) {
            record.load.start();
        }
        SentRequest {
            target: placement.target.clone(),
            route: ask.route.clone(),
            object: ask.object.clone(),
            wait: placement.wait,
            distance: placement.distance,
            work: placement.work,
        }
    }

    /// Notes how long opening a connection to a target took: about a round trip.
    pub fn note_connected(&mut self, target: &str, elapsed: Duration) {
        let Some(record) = self.roster.get(target) else {
            return;
        };
        let shortest = self
            .distances
            .entry(record.region.clone())
            .or_insert(elapsed);
        *shortest = elapsed.min(*shortest);
    }

    /// Counts a request as no longer at its target.
    pub fn end(&mut self, sent: &SentRequest) {
        if let Some(record) = self.roster.get_mut(&sent.target) {
            record.load.end();
        }
    }

    /// Notes an answer that came `held` after the sending.
    pub fn note_answer(&mut self, now: BootTime, sent: &SentRequest, held: Duration, good: bool) {
        let Some(record) = self.roster.get_mut(&sent.target) else {
            return;
        };
        record.load.note_hold(held.saturating_sub(sent.distance));
        if good {
            record.health.note_success();
        } else {
            record.health.note_failure();
            return;
        }
        let cold = record.is_cold(now);
        self.memory.note_warm(now, &sent.target, &sent.object);
        if !cold && sent.wait.is_zero() {
            let work = held.saturating_sub(sent.distance);
            self.memory.note_work(&sent.route, &sent.work, work);
        }
    }

    /// Notes what a target tells of itself with an answer.
    pub fn note_marks(&mut self, now: BootTime, target: &str, marks: &ResponseMetadata) {
        let Some(record) = self.roster.get_mut(target) else {
            return;
        };
        if let Some(report) = marks.load {
            record.load.note_report(now, report);
        }
        if let Some(cold_for) = marks.cold_for {
            record.note_cold(now, cold_for);
        }
    }

    /// Notes that the target rejected a request without running it.
    pub fn note_rejected(&mut self, sent: &SentRequest) {
        if let Some(record) = self.roster.get_mut(&sent.target) {
            record.health.note_failure();
        }
    }

    /// Notes that the target cannot be reached: when it returns it may have started anew, and
    /// counts as cold. Returns whether it is left out from now on.
    pub fn note_unreachable(
        &mut self,
        now: BootTime,
        sent: &SentRequest,
        service: &ServicePolicy,
    ) -> bool {
        let Some(record) = self.roster.get_mut(&sent.target) else {
            return false;
        };
        record.keep_cold(now + service.warmup);
        self.memory.forget_target(&sent.target);
        record.health.note_unreachable(now)
    }

    /// Notes that a request got no answer. Returns whether the target is left out from now on.
    pub fn note_silence(&mut self, now: BootTime, sent: &SentRequest) -> bool {
        let record = self.roster.get_mut(&sent.target);
        record.is_some_and(|record| record.health.note_silence(now))
    }

    /// Notes that a connection broke, or brought an answer that is not the request's.
    pub fn note_broken(&mut self, sent: &SentRequest) {
        if let Some(record) = self.roster.get_mut(&sent.target) {
            record.health.note_failure();
        }
    }
}
