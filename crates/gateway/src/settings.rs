//! Settings of a gateway, read from JSON with comments.

use crate::errors::{Error, Result};
use fighall_core::{
    document::{ObjectReader, SourceText},
    field::{FieldSpec, FieldTable},
    finding::FindingList,
    ids::{HostId, RegionId, ZoneId},
    value,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

const ZONE_TABLE: FieldTable = FieldTable::new(
    "Availability zones",
    &[
        FieldSpec::text("zone", "Name of the availability zone"),
        FieldSpec::text("region", "Region that it is part of"),
    ],
);

/// Fields of a gateway's settings file.
pub const SETTINGS_TABLE: FieldTable = FieldTable::new(
    "Settings of a gateway",
    &[
        FieldSpec::text("host", "Name of this host"),
        FieldSpec::text("region", "Region of this host"),
        FieldSpec::text("zone", "Availability zone of this host"),
        FieldSpec::objects("zones", "All availability zones with their regions"),
        FieldSpec::text("callers", "Address for callers"),
        FieldSpec::text("ready", "Address for readiness checks"),
        FieldSpec::text("directory", "Address for look-ups"),
        FieldSpec::text(
            "peers",
            "Address for other hosts: heartbeats over UDP, copies of store objects and their versions over TCP",
        ),
        FieldSpec::text("metrics", "Address at which metrics are served"),
        FieldSpec::text("store", "Address of the platform's store"),
        FieldSpec::texts(
            "bounds",
            "Bounds of the deployment, as the platform writes them",
        ),
        FieldSpec::text_or("log_level", "info", "`debug`, `info`, `warning` or `error`"),
        FieldSpec::integer(
            "memory_mb",
            "MB",
            (32, 1_000_000),
            Some(256),
            "Memory that the process may use",
        ),
        FieldSpec::integer(
            "max_descriptors",
            "descriptors",
            (64, 10_000_000),
            Some(4_096),
            "Descriptors that the process may open; half of them are for connections of callers",
        ),
        FieldSpec::integer(
            "store_calls",
            "calls/s",
            (1, 10_000),
            Some(40),
            "Budget of this host's calls to the store",
        ),
    ],
);

value! {
    /// `GatewayBounds` are the limits and time bounds that the deployment guarantees.
    #[derive(Copy)]
    pub struct GatewayBounds {
        /// Time within which every host stops sending requests to a leaving target.
        pub drain: Duration,
        /// Time within which every host stops sending requests into an evacuated availability zone.
        pub evacuate: Duration,
        /// Time from the request to stop until the platform kills the process.
        pub stop: Duration,
        /// Time within which a new configuration is in force at every host.
        pub apply: Duration,
        /// Time within which every host rejects a withdrawn key; none if that is not strictly required.
        pub revoke: Option<Duration>,
        /// Retries allowed per request, over the whole fleet.
        pub retry_ratio: f64,
        /// Retries allowed beyond the ratio, over the whole fleet.
        pub retry_slack: f64,
        /// Time window over which retries are counted.
        pub retry_window: Duration,
        /// Factor by which the request rate of a cold target may be exceeded.
        pub warmup_overage: f64,
        /// Number of requests by which the rate of a cold target may be exceeded in addition.
        pub warmup_slack: f64,
        /// Longest time for which callers may cache a response of the directory.
        pub lookup_lifetime: Duration,
    }
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_millis(2_500),
            evacuate: Duration::from_secs(5),
            stop: Duration::from_secs(6),
            apply: Duration::from_millis(2_500),
            revoke: Some(Duration::from_secs(5)),
            retry_ratio: 0.2,
            retry_slack: 20.0,
            retry_window: Duration::from_secs(10),
            warmup_overage: 1.0,
            warmup_slack: 1.0,
            lookup_lifetime: Duration::from_secs(2),
        }
    }
}

/// Parses bounds from the platform's texts; the error lists every text that cannot be parsed.
pub type BoundsReader = fn(&[String]) -> std::result::Result<GatewayBounds, Vec<String>>;

value! {
    /// `GatewaySettings` are the checked settings of one gateway.
    pub struct GatewaySettings {
        /// Name of this host.
        pub host: HostId,
        /// Region of this host.
        pub region: RegionId,
        /// Availability zone of this host.
        pub zone: ZoneId,
        /// Region of each availability zone of the deployment.
        pub zones: BTreeMap<ZoneId, RegionId>,
        /// Address at which callers are accepted.
        pub callers: SocketAddr,
        /// Address at which readiness checks are served.
        pub ready: SocketAddr,
        /// Address at which the directory serves look-ups.
        pub directory: SocketAddr,
        /// Address at which messages of other hosts are received, over UDP.
        pub peers: SocketAddr,
        /// Address at which metrics are served.
        pub metrics: SocketAddr,
        /// Address of the platform's store.
        pub store: SocketAddr,
        /// Limits and time bounds of the deployment.
        pub bounds: GatewayBounds,
        /// Lowest level that is logged.
        pub log_level: slog::Level,
        /// Memory that the process may use, in megabytes.
        pub memory_mb: usize,
        /// Descriptors that the process may open.
        pub max_descriptors: usize,
        /// Store calls per second that this host may make.
        pub store_calls: u32,
    }
}

impl GatewaySettings {
    /// Parses settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns all findings with their positions in the file.
    pub fn parse(
        file: &str,
        text: &str,
        bounds_reader: BoundsReader,
    ) -> std::result::Result<Self, FindingList> {
        SourceText::new(file, text)
            .read(&SETTINGS_TABLE, |reader| Self::read(reader, bounds_reader))
    }

    /// Reads and parses settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or has findings.
    pub fn load(path: &str, bounds_reader: BoundsReader) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::io(format!("reading {path}"), error))?;
        Ok(Self::parse(path, &text, bounds_reader)?)
    }

    fn read(reader: &ObjectReader<'_, '_>, bounds_reader: BoundsReader) -> Option<Self> {
        // All fields are read before the first absent one ends the function, so that one run reports all
        // findings.
        let callers = reader.parsed("callers");
        let ready = reader.parsed("ready");
        let directory = reader.parsed("directory");
        let peers = reader.parsed("peers");
        let metrics = reader.parsed("metrics");
        let store = reader.parsed("store");
        let host = reader.name("host");
        let region = reader.name("region");
        let zone = reader.name("zone");
        let zones: BTreeMap<_, _> = reader
            .objects("zones", &ZONE_TABLE, |entry| {
                Some((entry.name("zone"), entry.name("region")))
            })
            .into_iter()
            .collect();
        if zones
            .get(&zone)
            .is_some_and(|known_region| *known_region != region)
        {
            reader.report("zones", format!("`{zone}` is not in region `{region}`"));
        }
        let bounds = read_bounds(reader, bounds_reader);
        let level_text = reader.text("log_level");
        let log_level = level_text.parse().ok();
        if log_level.is_none() {
            reader.report("log_level", format!("`{level_text}` is not a log level"));
        }
        let memory_mb = usize::try_from(reader.integer("memory_mb")).unwrap_or(usize::MAX);
        let max_descriptors = reader.integer("max_descriptors");
        let max_descriptors = usize::try_from(max_descriptors).unwrap_or(usize::MAX);
        let store_calls = u32::try_from(reader.integer("store_calls")).unwrap_or(1);
        Some(Self {
            host,
            region,
            zone,
            zones,
            callers: callers?,
            ready: ready?,
            directory: directory?,
            peers: peers?,
            metrics: metrics?,
            store: store?,
            bounds: bounds?,
            log_level: log_level?,
            memory_mb,
            max_descriptors,
            store_calls,
        })
    }
}

fn read_bounds(
    reader: &ObjectReader<'_, '_>,
    bounds_reader: BoundsReader,
) -> Option<GatewayBounds> {
    match bounds_reader(&reader.texts("bounds")) {
        Ok(bounds) => Some(bounds),
        Err(findings) => {
            for finding in findings {
                reader.report("bounds", finding);
            }
            None
        }
    }
}
