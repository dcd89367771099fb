//! Bookkeeping of attempts: how their outcomes change the state that the router decides by.

use super::RequestRouter;
use crate::{
    crash::RequestDigest,
    decision::{PlacementQuery, SentRequest, TargetPlacement},
    dialect::ResponseMetadata,
    policy::ServicePolicy,
};
use fighall_core::{ids::BootTime, value};
use std::time::Duration;

value! {
    /// `TargetNotice` is what a target announces about the requests that it accepts.
    pub enum TargetNotice {
        /// It is leaving.
        Leaving,
        /// It accepts no requests of this host for this time.
        Paused(Duration),
    }
}

impl RequestRouter {
    /// Counts an attempt as in flight at its target. The result is passed to [`RequestRouter::end_attempt`]
    /// and to the function below that records the outcome.
    pub fn start_attempt(
        &mut self,
        query: &PlacementQuery,
        placement: &TargetPlacement,
    ) -> SentRequest {
        if let Some(record) = self.roster.get_mut(&placement.target) {
            record.load.start();
        }
        SentRequest {
            target: placement.target.clone(),
            route: query.route.clone(),
            object: query.object.clone(),
            wait: placement.wait,
            round_trip: placement.round_trip,
            work: placement.work,
        }
    }

    /// Records how long connecting to a target took, which is about a round trip.
    pub fn record_connect_time(&mut self, target: &str, elapsed: Duration) {
        self.reach.record_connection();
        let Some(record) = self.roster.get(target) else {
            return;
        };
        let shortest = self
            .round_trips
            .entry(record.region.clone())
            .or_insert(elapsed);
        *shortest = elapsed.min(*shortest);
    }

    /// Counts an attempt as no longer in flight at its target.
    pub fn end_attempt(&mut self, sent: &SentRequest) {
        if let Some(record) = self.roster.get_mut(&sent.target) {
            record.load.end();
        }
    }

    /// Records a response that came `latency` after the request was sent. `success` is false for server
    /// errors.
    pub fn record_response(
        &mut self,
        now: BootTime,
        sent: &SentRequest,
        latency: Duration,
        success: bool,
    ) {
        self.reach.record_response(now);
        let Some(record) = self.roster.get_mut(&sent.target) else {
            return;
        };
        record
            .load
            .record_latency(latency.saturating_sub(sent.round_trip));
        if success {
            record.health.record_success();
        } else {
            record.health.record_failure();
            return;
        }
        let warming_up = record.is_warming_up(now);
        self.work_history
            .record_handled(now, &sent.target, &sent.object);
        if !warming_up && sent.wait.is_zero() {
            let work = latency.saturating_sub(sent.round_trip);
            self.work_history.record_work(&sent.route, &sent.work, work);
        }
    }

    /// Records that a target announced with a response that it is leaving, or that it accepts no requests of
    /// this host for some time. Returns what is new.
    pub fn record_notices(
        &mut self,
        now: BootTime,
        target: &str,
        metadata: &ResponseMetadata,
    ) -> Vec<TargetNotice> {
        let Some(record) = self.roster.get_mut(target) else {
            return Vec::new();
        };
        let mut notices = Vec::new();
        if metadata.leaving && record.record_leaving() {
            notices.push(TargetNotice::Leaving);
        }
        if let Some(duration) = metadata.retry_after
            && record.pause.extend(now, duration)
        {
            notices.push(TargetNotice::Paused(duration));
        }
        notices
    }

    /// Records the load and the remaining warm-up that a target reports with a response.
    pub fn record_target_report(
        &mut self,
        now: BootTime,
        target: &str,
        metadata: &ResponseMetadata,
    ) {
        let Some(record) = self.roster.get_mut(target) else {
            return;
        };
        if let Some(report) = metadata.load {
            record.load.record_report(now, report);
        }
        if let Some(cold_for) = metadata.cold_for {
            record.record_warmup(now, cold_for);
        }
    }

    /// Records that the target rejected a request without running it. A rejection that requests a pause is no
    /// failure: the target gets no requests until its end anyway.
    pub fn record_rejection(&mut self, now: BootTime, sent: &SentRequest) {
        self.reach.record_response(now);
        if let Some(record) = self.roster.get_mut(&sent.target)
            && !record.pause.is_active(now)
        {
            record.health.record_failure();
        }
    }

    /// Records that the target cannot be reached. It may have restarted when it is reachable again,
    /// so it counts as warming up. Returns whether the target is ejected by this failure.
    pub fn record_unreachable(
        &mut self,
        now: BootTime,
        sent: &SentRequest,
        service: &ServicePolicy,
    ) -> bool {
        self.reach.record_failure(&sent.target);
        let Some(record) = self.roster.get_mut(&sent.target) else {
            return false;
        };
        record.extend_warmup(now + service.warmup);
        self.work_history.clear_target(&sent.target);
        record.health.record_unreachable(now)
    }

    /// Records that a request got no response in time. Returns whether the target is ejected by it.
    pub fn record_timeout(&mut self, now: BootTime, sent: &SentRequest) -> bool {
        self.reach.record_silence(&sent.target);
        let record = self.roster.get_mut(&sent.target);
        record.is_some_and(|record| record.health.record_timeout(now))
    }

    /// Records that a request may have been running at a target when the connection broke.
    pub fn record_break(&mut self, now: BootTime, target: &str, digest: RequestDigest) {
        let record = self.roster.get(target);
        let started_ms = record.and_then(|record| record.entry.started_ms);
        self.crashes.record_broken(now, target, started_ms, digest);
    }

    /// Records that a target's process has ended. Returns the requests that are blocked now because they crash
    /// targets.
    pub fn record_ended(&mut self, now: BootTime, target: &str) -> Vec<RequestDigest> {
        if let Some(record) = self.roster.get_mut(target) {
            record.health.record_unreachable(now);
        }
        self.crashes.record_ended(now, target)
    }

    /// Records that a connection broke, or that its response belongs to another request.
    pub fn record_broken(&mut self, sent: &SentRequest) {
        if let Some(record) = self.roster.get_mut(&sent.target) {
            record.health.record_failure();
        }
    }
}
