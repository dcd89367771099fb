//! fighall's own wire dialect: the headers of entry hosts, the store's own mapping, and documents
//! that are the gateway's types as JSON.

use crate::{
    dialect::{AnswerMarks, CallerMarks, TargetMarks, WireDialect},
    directory::{LookupAnswer, LookupQuery},
    load::LoadReport,
    policy::TrafficPolicy,
    roster::TargetEntry,
    settings::GatewayBounds,
};
use fighall_core::message;
use fighall_net::headers::{
    DEADLINE_HEADER, ORGANISATION_HEADER, REQUEST_HEADER, RUN_HEADER, presented_key, remove_key,
    remove_own, set,
};
use fighall_store::mapping::StoreMapping;
use http::{HeaderMap, HeaderName, header::RETRY_AFTER};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Kind of the traffic policy.
pub const POLICIES: &str = "policies";
/// Name of the traffic policy in force.
pub const MAIN_POLICY: &str = "main";
/// Kind of the targets' entries.
pub const TARGETS: &str = "targets";
/// Kind of the evacuations.
pub const EVACUATIONS: &str = "evacuations";
/// Path of look-ups.
pub const LOOKUP_PATH: &str = "/.fighall/hosts";
/// Path of readiness checks.
pub const READY_PATH: &str = "/.fighall/ready";
/// Header that names what requests for the same object share.
pub const OBJECT_HEADER: HeaderName = HeaderName::from_static("fighall-object");
/// Header that names the target that may run a request, and in answers the one that did.
pub const TARGET_HEADER: HeaderName = HeaderName::from_static("fighall-target");
/// Header in which a target tells its running and waiting requests.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("fighall-load");

message! {
    /// `HostList` is the body of a look-up's answer.
    pub struct HostList {
        /// Addresses of hosts, any of which may be used.
        pub addresses: Vec<SocketAddr>,
        /// Time for which the answer may be kept, in milliseconds.
        pub ttl_ms: u64,
    }
}

/// fighall's own dialect.
pub fn dialect() -> WireDialect {
    WireDialect {
        read_caller,
        write_target,
        read_answer,
        write_refusal,
        read_lookup,
        write_lookup,
        lookup_path: || LOOKUP_PATH.to_owned(),
        ready_path: || READY_PATH.to_owned(),
        store: StoreMapping::default(),
        policy_object: || (POLICIES.to_owned(), MAIN_POLICY.to_owned()),
        read_policy: |text| decode(text).map(TrafficPolicy::with_sorted_routes),
        targets_kind: || TARGETS.to_owned(),
        read_target,
        evacuations_kind: || EVACUATIONS.to_owned(),
    }
}

/// Reads the bounds of the settings: `name=milliseconds` for `drain`, `stop`, `apply`, `revoke`
/// and `retry_window`, and `name=number` for `retry_ratio` and `retry_slack`.
///
/// # Errors
///
/// Returns a text for each bound that cannot be read.
pub fn read_bounds(texts: &[String]) -> Result<GatewayBounds, Vec<String>> {
    let mut bounds = GatewayBounds::default();
    let mut findings = Vec::new();
    for text in texts {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        let millis = value.parse().map(Duration::from_millis);
        let number = value.parse::<f64>();
        match (name, millis, number) {
            ("drain", Ok(value), _) => bounds.drain = value,
            ("stop", Ok(value), _) => bounds.stop = value,
            ("apply", Ok(value), _) => bounds.apply = value,
            ("revoke", Ok(value), _) => bounds.revoke = Some(value),
            ("retry_window", Ok(value), _) => bounds.retry_window = value,
            ("retry_ratio", _, Ok(value)) => bounds.retry_ratio = value,
            ("retry_slack", _, Ok(value)) => bounds.retry_slack = value,
            _ => findings.push(format!("`{text}` is not a bound with its value")),
        }
    }
    if findings.is_empty() {
        Ok(bounds)
    } else {
        Err(findings)
    }
}

fn read_caller(headers: &HeaderMap) -> CallerMarks {
    let request = text(headers, &REQUEST_HEADER);
    CallerMarks {
        request: request.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..))),
        object: text(headers, &OBJECT_HEADER),
        patience: text(headers, &DEADLINE_HEADER)
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis),
        key: presented_key(headers),
    }
}

fn write_target(headers: &mut HeaderMap, marks: &TargetMarks) {
    let key = presented_key(headers);
    remove_own(headers);
    remove_key(headers, key.as_deref());
    set(headers, &REQUEST_HEADER, &marks.request);
    set(headers, &TARGET_HEADER, &marks.target);
    set(
        headers,
        &DEADLINE_HEADER,
        &marks.left.as_millis().to_string(),
    );
    if let Some(organisation) = &marks.organisation {
        set(headers, &ORGANISATION_HEADER, organisation);
    }
}

fn read_answer(headers: &HeaderMap) -> AnswerMarks {
    let load = text(headers, &LOAD_HEADER);
    AnswerMarks {
        request: text(headers, &REQUEST_HEADER),
        sealed: headers.contains_key(&TARGET_HEADER),
        not_run: text(headers, &RUN_HEADER).as_deref() == Some("no"),
        load: load.and_then(|load| {
            let (running, waiting) = load.split_once(',')?;
            Some(LoadReport {
                running: running.parse().ok()?,
                waiting: waiting.parse().ok()?,
            })
        }),
        cold_for: None,
        idle_limit: None,
    }
}

fn write_refusal(headers: &mut HeaderMap, retry_after: Duration) {
    // The header takes whole seconds.
    let seconds = retry_after.as_millis().div_ceil(1_000);
    set(headers, &RETRY_AFTER, &seconds.to_string());
}

fn read_lookup(query: &str) -> LookupQuery {
    let mut read = LookupQuery::default();
    for pair in query.split('&') {
        match pair.split_once('=') {
            Some(("service", value)) => value.clone_into(&mut read.name),
            Some(("region", value)) => value.clone_into(&mut read.region),
            Some(("zone", value)) => value.clone_into(&mut read.zone),
            _ => {}
        }
    }
    read
}

fn write_lookup(answer: &LookupAnswer) -> Result<String, String> {
    let list = HostList {
        addresses: answer.addresses.clone(),
        ttl_ms: u64::try_from(answer.lifetime.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_string(&list).map_err(|error| error.to_string())
}

fn read_target(name: &str, text: &str) -> Result<TargetEntry, String> {
    let entry: TargetEntry = decode(text)?;
    if entry.name == name {
        Ok(entry)
    } else {
        Err(format!("the entry is of `{}`", entry.name))
    }
}

fn decode<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.trim().to_owned())
}
