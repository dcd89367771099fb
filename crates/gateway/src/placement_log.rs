//! Log records of attempts at targets and of the limits that targets name.

use crate::{
    attempt_report::{AttemptReport, ConnectionUse},
    crash::RequestDigest,
    decision::TargetPlacement,
    request::RequestTrace,
    router::{limits::LimitChanges, outcomes::TargetNotice},
    sender::AttemptOutcome,
    target_limit::LimitChange,
};
use fighall_core::log::RETAINED;
use http::StatusCode;
use slog::{Logger, info, warn};
use std::time::Duration;

/// Logs an attempt with the inputs of its placement and its place on the connection. Returns the metrics label of the
/// outcome.
pub fn log_attempt<'l>(
    logger: &Logger,
    request: &str,
    placement: &TargetPlacement,
    report: &AttemptReport,
    elapsed: Duration,
    ejected: bool,
) -> &'l str {
    let (label, detail) = describe(&report.outcome);
    let connection_use = report.connection_use;
    info!(logger, "attempt ended";
        "request" => request,
        "target" => &placement.target,
        "address" => placement.address,
        "connection" => connection_use.map(|connection_use| connection_use.connection),
        "exchange" => connection_use.map(|connection_use| connection_use.exchange),
        "repeated" => connection_use.map(|connection_use| connection_use.repeated),
        "region" => &placement.region,
        "place" => placement.hash_rank,
        "warm" => placement.warm,
        "cold" => placement.warming_up,
        "limit" => placement.limit,
        "wait_ms" => placement.wait.as_millis(),
        "expected_ms" => placement.expected_latency.as_millis(),
        "outcome" => label,
        "detail" => detail,
        "held_ms" => elapsed.as_millis(),
        "ejected" => ejected,
    );
    label
}

/// Describes an attempt for the log of a refusal: its target, its place on the connection and its outcome.
pub fn describe_attempt(placement: &TargetPlacement, report: &AttemptReport) -> String {
    let (label, detail) = describe(&report.outcome);
    let place = describe_use(report.connection_use);
    format!(
        "{} at {}, {place}: {label}, {detail}",
        placement.target, placement.address
    )
}

/// Describes the place of an exchange on its connection.
pub fn describe_use(connection_use: Option<ConnectionUse>) -> String {
    let Some(connection_use) = connection_use else {
        return "nothing sent".to_owned();
    };
    let ConnectionUse {
        connection,
        exchange,
        repeated,
    } = connection_use;
    let suffix = if repeated {
        ", identifier repeated"
    } else {
        ""
    };
    format!("connection {connection} exchange {exchange}{suffix}")
}

// Returns the metrics label and the detail of an outcome.
fn describe<'l>(outcome: &AttemptOutcome) -> (&'l str, String) {
    match outcome {
        AttemptOutcome::Answered(response) => ("answered", response.status.as_u16().to_string()),
        AttemptOutcome::Rejected {
            status,
            misdirected,
            identified,
        } => {
            let label = if *misdirected {
                "misdirected"
            } else {
                "rejected"
            };
            let evidence = if *identified {
                "response with the request's identifier"
            } else {
                "first response of the connection, without an identifier"
            };
            (label, format!("{}, {evidence}", status.as_u16()))
        }
        AttemptOutcome::NotSent { cause, .. } => ("not_sent", cause.clone()),
        AttemptOutcome::Unknown {
            cause,
            timed_out: true,
            ..
        } => ("silent", cause.clone()),
        AttemptOutcome::Unknown { cause, .. } => ("unknown", cause.clone()),
    }
}

/// Logs the attempts of a request that may run once and is answered with a status that promises that it did not run.
pub(crate) fn log_refusal(
    logger: &Logger,
    request: &str,
    status: StatusCode,
    outcome: &str,
    trace: &RequestTrace,
) {
    info!(logger, #RETAINED, "request refused as not run";
        "request" => request,
        "route" => &trace.route,
        "status" => status.as_u16(),
        "outcome" => outcome,
        "attempts" => trace.attempts.join("; "),
    );
}

/// Logs requests that are blocked because targets crash under them. `source` is where the evidence comes from.
pub fn log_blocks(logger: &Logger, blocked: &[RequestDigest], source: &str) {
    for digest in blocked {
        warn!(logger, "request that crashes targets blocked";
            "digest" => format_digest(digest), "source" => source);
    }
}

/// Formats a digest for logs.
pub fn format_digest(digest: &RequestDigest) -> String {
    format!("{:016x}{:016x}", digest[0], digest[1])
}

/// Logs changes of what is known about the limits of targets. `source` tells what they are known from.
pub fn log_limit_changes(logger: &Logger, changes: &LimitChanges, source: &str) {
    for (target, change) in changes {
        match change {
            LimitChange::Named(rate) => info!(logger, "target limit named";
                "target" => target, "limit" => rate, "source" => source),
            LimitChange::Changed(rate) => info!(logger, "target limit changed";
                "target" => target, "limit" => rate, "source" => source),
            LimitChange::Ended => info!(logger, "target limit ended";
                "target" => target, "source" => source),
            LimitChange::Rejected(value) => warn!(logger, "target limit not valid; ignored";
                "target" => target, "value" => value, "source" => source),
        }
    }
}

/// Logs what a target announced with the response to a request.
pub fn log_notices(logger: &Logger, request: &str, target: &str, notices: &[TargetNotice]) {
    for notice in notices {
        match notice {
            TargetNotice::Leaving => info!(logger, "target announced its leaving";
                "request" => request, "target" => target),
            TargetNotice::Paused(duration) => info!(logger, "target paused";
                "request" => request, "target" => target, "for_ms" => duration.as_millis()),
        }
    }
}
