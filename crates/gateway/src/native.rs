//! fighall's native wire dialect: the same headers as entry hosts, the store's default mapping, and the
//! gateway's own types encoded as JSON documents.

use crate::{
    dialect::{CallerMetadata, ResponseMetadata, TargetMetadata, WireDialect},
    directory::{LookupQuery, LookupResponse},
    load::LoadReport,
    policy::TrafficPolicy,
    roster::TargetEntry,
    settings::GatewayBounds,
    target_limit::read_limit,
    target_pause::read_pause,
};
use fighall_core::message;
use fighall_net::headers::{
    DEADLINE_HEADER, ORGANISATION_HEADER, REQUEST_HEADER, RUN_HEADER, presented_key,
    remove_fighall_headers, remove_key, set,
};
use fighall_store::mapping::StoreMapping;
use http::{HeaderMap, HeaderName, header::RETRY_AFTER};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Store kind of the traffic policy.
pub const POLICIES: &str = "policies";
/// Object name of the traffic policy in force.
pub const MAIN_POLICY: &str = "main";
/// Store kind of target entries.
pub const TARGETS: &str = "targets";
/// Store kind of evacuations of availability zones.
pub const EVACUATIONS: &str = "evacuations";
/// Path of look-up requests.
pub const LOOKUP_PATH: &str = "/.fighall/hosts";
/// Path of readiness checks.
pub const READY_PATH: &str = "/.fighall/ready";
/// Request header with the affinity key: requests with the same value go to the same few targets.
pub const OBJECT_HEADER: HeaderName = HeaderName::from_static("fighall-object");
/// Header with the name of the target that may run the request; in responses, of the one that sent it.
pub const TARGET_HEADER: HeaderName = HeaderName::from_static("fighall-target");
/// Response header with a target's numbers of running and waiting requests, as `running,waiting`.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("fighall-load");
/// Response header with the requests per second that a target accepts from all hosts together.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("fighall-limit");

message! {
    /// `HostList` is the body of a look-up response.
    pub struct HostList {
        /// Addresses of hosts; the caller may use any of them.
        pub addresses: Vec<SocketAddr>,
        /// Time to live of the response, in milliseconds.
        pub ttl_ms: u64,
    }
}

/// Response header by which a target announces that it is leaving, with the value `1`.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("fighall-leaving");

/// Creates the native dialect.
pub fn dialect() -> WireDialect {
    WireDialect {
        read_caller_headers,
        write_target_headers,
        write_passed_headers,
        read_response_headers,
        write_retry_after,
        read_lookup,
        write_lookup,
        lookup_path: || LOOKUP_PATH.to_owned(),
        ready_path: || READY_PATH.to_owned(),
        store: StoreMapping::default(),
        policy_object: || (POLICIES.to_owned(), MAIN_POLICY.to_owned()),
        read_policy: |text| from_json(text).map(TrafficPolicy::with_sorted_routes),
        targets_kind: || TARGETS.to_owned(),
        read_target,
        evacuations_kind: || EVACUATIONS.to_owned(),
    }
}

/// Parses the bounds of the settings: `name=milliseconds` for `drain`, `evacuate`, `stop`, `apply`, `revoke`
/// and `retry_window`, and `name=number` for `retry_ratio` and `retry_slack`.
///
/// # Errors
///
/// Returns a message for each unknown bound or invalid value.
pub fn read_bounds(texts: &[String]) -> Result<GatewayBounds, Vec<String>> {
    let mut bounds = GatewayBounds::default();
    let mut findings = Vec::new();
    for text in texts {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        let millis = value.parse().map(Duration::from_millis);
        let number = value.parse::<f64>();
        match (name, millis, number) {
            ("drain", Ok(value), _) => bounds.drain = value,
            ("evacuate", Ok(value), _) => bounds.evacuate = value,
            ("stop", Ok(value), _) => bounds.stop = value,
            ("apply", Ok(value), _) => bounds.apply = value,
            ("revoke", Ok(value), _) => bounds.revoke = Some(value),
            ("retry_window", Ok(value), _) => bounds.retry_window = value,
            ("retry_ratio", _, Ok(value)) => bounds.retry_ratio = value,
            ("retry_slack", _, Ok(value)) => bounds.retry_slack = value,
            _ => findings.push(format!("`{text}` is not a bound with a valid value")),
        }
    }
    if findings.is_empty() {
        Ok(bounds)
    } else {
        Err(findings)
    }
}

fn read_caller_headers(headers: &HeaderMap) -> CallerMetadata {
    let request = header_text(headers, &REQUEST_HEADER);
    CallerMetadata {
        request: request.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..))),
        object: header_text(headers, &OBJECT_HEADER),
        timeout: header_text(headers, &DEADLINE_HEADER)
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis),
        key: presented_key(headers),
    }
}

fn write_target_headers(headers: &mut HeaderMap, metadata: &TargetMetadata) {
    let key = presented_key(headers);
    remove_fighall_headers(headers);
    remove_key(headers, key.as_deref());
    set(headers, &REQUEST_HEADER, &metadata.request);
    set(headers, &TARGET_HEADER, &metadata.target);
    set(
        headers,
        &DEADLINE_HEADER,
        &metadata.time_left.as_millis().to_string(),
    );
    if let Some(organisation) = &metadata.organisation {
        set(headers, &ORGANISATION_HEADER, organisation);
    }
}

fn write_passed_headers(headers: &mut HeaderMap, request: &str, time_left: Duration) {
    set(headers, &REQUEST_HEADER, request);
    set(
        headers,
        &DEADLINE_HEADER,
        &time_left.as_millis().to_string(),
    );
}

fn read_response_headers(headers: &HeaderMap) -> ResponseMetadata {
    let load = header_text(headers, &LOAD_HEADER);
    ResponseMetadata {
        request: header_text(headers, &REQUEST_HEADER),
        from_target: headers.contains_key(&TARGET_HEADER),
        not_run: header_text(headers, &RUN_HEADER).as_deref() == Some("no"),
        load: load.and_then(|load| {
            let (running, waiting) = load.split_once(',')?;
            Some(LoadReport {
                running: running.parse().ok()?,
                waiting: waiting.parse().ok()?,
            })
        }),
        cold_for: None,
        idle_timeout: None,
        limit: read_limit(headers, &LIMIT_HEADER),
        leaving: header_text(headers, &LEAVING_HEADER).as_deref() == Some("1"),
        retry_after: read_pause(headers),
    }
}

fn write_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    // `Retry-After` takes whole seconds; rounded up, so that the caller does not retry too early.
    let seconds = retry_after.as_millis().div_ceil(1_000);
    set(headers, &RETRY_AFTER, &seconds.to_string());
}

fn read_lookup(query: &str) -> LookupQuery {
    let mut lookup = LookupQuery::default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match name.as_ref() {
            "service" => lookup.name = value.into_owned(),
            "region" => lookup.region = value.into_owned(),
            "zone" => lookup.zone = value.into_owned(),
            _ => {}
        }
    }
    lookup
}

fn write_lookup(response: &LookupResponse) -> Result<String, String> {
    let list = HostList {
        addresses: response.addresses.clone(),
        ttl_ms: u64::try_from(response.ttl.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_string(&list).map_err(|error| error.to_string())
}

fn read_target(name: &str, text: &str) -> Result<TargetEntry, String> {
    let entry: TargetEntry = from_json(text)?;
    if entry.name == name {
        Ok(entry)
    } else {
        Err(format!("the entry names target `{}`", entry.name))
    }
}

fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.trim().to_owned())
}
