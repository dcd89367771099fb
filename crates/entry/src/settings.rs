//! Settings of `fighall-entry`: JSON with comments.

use crate::errors::{Error, Result};
use fighall_core::{
    document::{ObjectReader, SourceText},
    field::{FieldSpec, FieldTable},
    finding::FindingList,
    ids::{HostId, RegionId, ZoneId},
    secret::SecretText,
    value,
};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Environment variable that holds the fleet's secret when no file does.
pub const SECRET_VARIABLE: &str = "FIGHALL_FLEET_SECRET";
/// Environment variable that holds the operators' token when no file does.
pub const TOKEN_VARIABLE: &str = "FIGHALL_OPERATOR_TOKEN";

/// Fields of the settings.
pub const SETTINGS_TABLE: FieldTable = FieldTable::new(
    "Settings of `fighall-entry`",
    &[
        FieldSpec::text("host", "Name of this host"),
        FieldSpec::text("region", "Region of this host"),
        FieldSpec::text("zone", "Availability zone of this host"),
        FieldSpec::text_or("callers", "0.0.0.0:8080", "Address for callers"),
        FieldSpec::text_or("peers", "0.0.0.0:8081", "Address for links of peers"),
        FieldSpec::text_or(
            "forwards",
            "0.0.0.0:8082",
            "Address for requests that peers forward",
        ),
        FieldSpec::text_or("operators", "127.0.0.1:8083", "Address for operators"),
        FieldSpec::text_or(
            "advertise",
            "",
            "IP address that others reach this host at; by default that of each address above",
        ),
        FieldSpec::text_or(
            "source",
            "",
            "IP address that links and requests go out from; by default the system picks it",
        ),
        FieldSpec::texts("store", "Addresses of the platform's store, as IP and port"),
        FieldSpec::texts(
            "seeds",
            "Addresses of other hosts' links, asked while the store cannot tell who they are",
        ),
        FieldSpec::text_or(
            "fleet_secret_file",
            "",
            "File with the secret that entry hosts share; by default `FIGHALL_FLEET_SECRET`",
        ),
        FieldSpec::text_or(
            "operator_token_file",
            "",
            "File with the operators' token; by default `FIGHALL_OPERATOR_TOKEN`",
        ),
        FieldSpec::text_or("log_level", "info", "`debug`, `info`, `warning` or `error`"),
        FieldSpec::integer(
            "events",
            "events",
            (100, 1_000_000),
            Some(20_000),
            "Events kept in memory for the time line",
        ),
        FieldSpec::integer(
            "heartbeat_ms",
            "milliseconds",
            (50, 10_000),
            Some(300),
            "Interval of heartbeats between hosts",
        ),
        FieldSpec::integer(
            "silence_ms",
            "milliseconds",
            (200, 60_000),
            Some(1_500),
            "Silence after which a link is replaced",
        ),
        FieldSpec::integer(
            "store_timeout_ms",
            "milliseconds",
            (50, 60_000),
            Some(800),
            "Longest wait for the store's answer",
        ),
        FieldSpec::integer(
            "store_calls",
            "calls/s",
            (1, 10_000),
            Some(40),
            "Budget of this host's calls to the store",
        ),
        FieldSpec::integer(
            "caller_timeout_ms",
            "milliseconds",
            (100, 600_000),
            Some(5_000),
            "Longest pause of a caller while it sends a head or a body",
        ),
        FieldSpec::integer(
            "queue",
            "requests",
            (1, 1_000_000),
            Some(512),
            "Most requests that wait for a slot of one service",
        ),
        FieldSpec::integer(
            "stop_ms",
            "milliseconds",
            (0, 600_000),
            Some(60_000),
            "Longest time that a stop waits for requests in flight",
        ),
    ],
);

value! {
    /// `EntrySettings` are the settings of one entry host.
    pub struct EntrySettings {
        /// Name of this host.
        pub host: HostId,
        /// Region.
        pub region: RegionId,
        /// Availability zone.
        pub zone: ZoneId,
        /// Address for callers.
        pub callers: SocketAddr,
        /// Address for peers' links.
        pub peers: SocketAddr,
        /// Address for forwarded requests.
        pub forwards: SocketAddr,
        /// Address for operators.
        pub operators: SocketAddr,
        /// IP address to advertise.
        pub advertise: Option<IpAddr>,
        /// IP address that links and requests go out from.
        pub source: Option<IpAddr>,
        /// Addresses of the store.
        pub store: Vec<String>,
        /// Addresses of other hosts' links.
        pub seeds: Vec<String>,
        /// Secret that entry hosts share.
        pub fleet_secret: SecretText,
        /// Operators' token.
        pub operator_token: SecretText,
        /// Log level.
        pub log_level: slog::Level,
        /// Events kept.
        pub events: usize,
        /// Interval of heartbeats.
        pub heartbeat: Duration,
        /// Silence after which a link is replaced.
        pub silence: Duration,
        /// Longest wait for the store.
        pub store_timeout: Duration,
        /// Budget of store calls a second.
        pub store_calls: u32,
        /// Longest pause of a caller.
        pub caller_timeout: Duration,
        /// Most waiting requests of a service.
        pub queue: usize,
        /// Longest wait of a stop.
        pub stop_limit: Duration,
    }
}

impl EntrySettings {
    /// Creates settings with the defaults, on loopback ports that the system picks.
    pub fn with_host(host: &str, region: &str, zone: &str, store: &str) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host: host.to_owned(),
            region: region.to_owned(),
            zone: zone.to_owned(),
            callers: loopback,
            peers: loopback,
            forwards: loopback,
            operators: loopback,
            advertise: None,
            source: None,
            store: vec![store.to_owned()],
            seeds: Vec::new(),
            fleet_secret: SecretText::new("local-fleet".to_owned()),
            operator_token: SecretText::new("local-operator".to_owned()),
            log_level: slog::Level::Warning,
            events: 20_000,
            heartbeat: Duration::from_millis(300),
            silence: Duration::from_millis(1_500),
            store_timeout: Duration::from_millis(800),
            store_calls: 40,
            caller_timeout: Duration::from_secs(5),
            queue: 512,
            stop_limit: Duration::from_secs(60),
        }
    }

    /// Reads settings from a file's text.
    ///
    /// # Errors
    ///
    /// Returns all findings with their places.
    pub fn parse(file: &str, text: &str) -> std::result::Result<Self, FindingList> {
        SourceText::new(file, text).read(&SETTINGS_TABLE, Self::read)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or has findings.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::io(format!("reading {path}"), error))?;
        Ok(Self::parse(path, &text)?)
    }

    fn read(reader: &ObjectReader<'_, '_>) -> Option<Self> {
        // Every field is read before the first absent one ends the reading, so that all findings
        // come in one run.
        let callers: Option<SocketAddr> = reader.parsed("callers");
        let peers: Option<SocketAddr> = reader.parsed("peers");
        let forwards: Option<SocketAddr> = reader.parsed("forwards");
        let operators: Option<SocketAddr> = reader.parsed("operators");
        let host = reader.name("host");
        let region = reader.name("region");
        let zone = reader.name("zone");
        let optional = |name: &str| reader.has(name).then(|| reader.parsed(name)).flatten();
        let advertise: Option<IpAddr> = optional("advertise");
        let source: Option<IpAddr> = optional("source");
        let store = read_addresses(reader, "store");
        if store.is_empty() {
            reader.report("store", "`store` needs at least one address");
        }
        let seeds = read_addresses(reader, "seeds");
        let fleet_secret = read_secret(reader, "fleet_secret_file", SECRET_VARIABLE);
        let operator_token = read_secret(reader, "operator_token_file", TOKEN_VARIABLE);
        let log_level = read_level(reader);
        let millis = |name: &str| Duration::from_millis(reader.integer(name));
        let count = |name: &str| usize::try_from(reader.integer(name)).unwrap_or(usize::MAX);
        let events = count("events");
        let queue = count("queue");
        let heartbeat = millis("heartbeat_ms");
        let silence = millis("silence_ms");
        let store_timeout = millis("store_timeout_ms");
        let caller_timeout = millis("caller_timeout_ms");
        let stop_limit = millis("stop_ms");
        let store_calls = u32::try_from(reader.integer("store_calls")).unwrap_or(1);
        let bound = [
            ("callers", callers),
            ("peers", peers),
            ("forwards", forwards),
            ("operators", operators),
        ];
        for (field, address) in bound {
            report_unspecified(reader, field, address, advertise);
        }
        if silence <= heartbeat {
            reader.report("silence_ms", "`silence_ms` must be above `heartbeat_ms`");
        }
        Some(Self {
            host,
            region,
            zone,
            callers: callers?,
            peers: peers?,
            forwards: forwards?,
            operators: operators?,
            advertise,
            source,
            store,
            seeds,
            fleet_secret: fleet_secret?,
            operator_token: operator_token?,
            log_level: log_level?,
            events,
            heartbeat,
            silence,
            store_timeout,
            store_calls,
            caller_timeout,
            queue,
            stop_limit,
        })
    }
}

// Others cannot reach a host at an address that stands for all of its own.
fn report_unspecified(
    reader: &ObjectReader<'_, '_>,
    field: &str,
    address: Option<SocketAddr>,
    advertise: Option<IpAddr>,
) {
    let unspecified = address.is_some_and(|address| address.ip().is_unspecified());
    if unspecified && advertise.is_none() {
        reader.report(
            field,
            format!("`{field}` is for all addresses; give `advertise` as well"),
        );
    }
}

fn read_addresses(reader: &ObjectReader<'_, '_>, field: &str) -> Vec<String> {
    let addresses = reader.texts(field);
    for address in &addresses {
        if address.parse::<SocketAddr>().is_err() {
            reader.report(field, format!("`{address}` is not an IP address and port"));
        }
    }
    addresses
}

fn read_level(reader: &ObjectReader<'_, '_>) -> Option<slog::Level> {
    let text = reader.text("log_level");
    let level = text.parse().ok();
    if level.is_none() {
        reader.report("log_level", format!("`{text}` is not a log level"));
    }
    level
}

fn read_secret(reader: &ObjectReader<'_, '_>, field: &str, variable: &str) -> Option<SecretText> {
    let path = reader.text(field);
    let text = if path.is_empty() {
        match std::env::var(variable) {
            Ok(text) => text,
            Err(_) => {
                reader.report(field, format!("give `{field}` or set {variable}"));
                return None;
            }
        }
    } else {
        match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                reader.report(field, format!("{path}: {error}"));
                return None;
            }
        }
    };
    let text = text.trim();
    if text.is_empty() {
        reader.report(field, "the secret is empty");
        return None;
    }
    Some(SecretText::new(text.to_owned()))
}
