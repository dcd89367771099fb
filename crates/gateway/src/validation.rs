//! Which responses are accepted as the answer to an attempt, and which statuses are promises.

use crate::{
    dialect::ResponseMetadata,
    sender::{AttemptOutcome, PASSED_HEADER, PreparedRequest},
};
use http::StatusCode;

/// Tells whether a status means to callers that the request did not run and never will.
pub fn promises_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Validates the response of a target to an attempt. `is_first` is whether it is the first one of its connection.
pub(crate) fn validate(
    outcome: AttemptOutcome,
    metadata: &ResponseMetadata,
    identifier_matches: bool,
    is_first: bool,
) -> AttemptOutcome {
    let AttemptOutcome::Answered(response) = &outcome else {
        return outcome;
    };
    let misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
    // A target that rejects a request may leave out the identifier. On a connection that was used before, such
    // a rejection may be one of an earlier request.
    let rejected = misdirected || metadata.not_run;
    if rejected && (identifier_matches || metadata.request.is_none() && is_first) {
        return AttemptOutcome::Rejected {
            status: response.status,
            misdirected,
            identified: identifier_matches,
        };
    }
    let trusted = !response.status.is_success() || metadata.from_target;
    if identifier_matches && trusted {
        return outcome;
    }
    let cause = if identifier_matches {
        "response lacks the header of a target".to_owned()
    } else {
        let status = response.status.as_u16();
        let identifier = metadata.request.as_deref().unwrap_or("none");
        format!("response identifier does not match the request: {status} for {identifier}")
    };
    invalid_response(cause)
}

/// Validates the response of another host to a passed request.
pub(crate) fn validate_passed(
    outcome: AttemptOutcome,
    metadata: &ResponseMetadata,
    request: &PreparedRequest,
) -> AttemptOutcome {
    let AttemptOutcome::Answered(mut response) = outcome else {
        return outcome;
    };
    let identifier_matches = metadata.request.as_deref() == Some(request.id.as_str());
    if response.status.is_success() && !(identifier_matches && metadata.from_target) {
        return invalid_response("response is not that of a target to the request".to_owned());
    }
    // Another program may run at the address by now, and a kept connection may return a response twice.
    let passed = response.headers.remove(PASSED_HEADER);
    let is_of_host = passed.is_some_and(|id| id.as_bytes() == request.id.as_bytes());
    if !is_of_host && (promises_no_run(response.status) || !identifier_matches) {
        return invalid_response("response is not that of a host to the request".to_owned());
    }
    AttemptOutcome::Answered(response)
}

// A response arrived but failed validation.
fn invalid_response(cause: String) -> AttemptOutcome {
    incomplete_response(cause, false)
}

/// Creates the outcome of an attempt whose response was not complete or not valid.
pub(crate) fn incomplete_response(cause: String, closed: bool) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        cause,
        timed_out: false,
        closed,
        stale_after: None,
    }
}
